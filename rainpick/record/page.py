"""Rendering of replays as one HTML page with charts. The page loads no other files."""

from __future__ import annotations

import re
from datetime import UTC, datetime
from typing import Any

import jinja2
import pygal
from pygal.style import Style

from rainpick.record.compare import ComparisonResult, ShareChange
from rainpick.record.limits import LimitApproach
from rainpick.record.replay import Difference, ReplayResult
from rainpick.record.schema import describe
from rainpick.record.series import Point

STYLE = Style(
    background="transparent",
    plot_background="transparent",
    font_family="sans-serif",
    colors=("#7a7a7a", "#c0392b", "#2471a3", "#229954", "#b9770e", "#7d3c98"),
)
MAX_SHARE_CHARTS = 8  # number of servers with a chart
MAX_LISTED_VALUES = 8  # number of events, or of commands, that are listed for a step
TEMPLATES = jinja2.Environment(autoescape=True, trim_blocks=True, lstrip_blocks=True)
PAGE = TEMPLATES.from_string("""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title>
<style>
body { font: 15px/1.5 sans-serif; max-width: 68em; margin: 2em auto; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 }
td, th { padding: .2em .9em; border-bottom: 1px solid #ddd }
td.n { text-align: right } .bad { color: #b03a2e } .good { color: #1e8449 }
pre { background: #f6f6f6; padding: .6em; white-space: pre-wrap }
 figure { margin: 1em 0; display: inline-block; width: 32em; max-width: 100% }
figcaption { font-weight: bold }
</style></head><body>
<h1>{{ title }}</h1>
{% for run in replays %}
<h2>Director {{ run.director }}, from {{ run.started }}</h2>
{% if not run.differing %}
<p class="good">{{ run.steps }} steps played again: every one of {{ run.commands }} orders is the same.</p>
{% else %}
<p class="bad">{{ run.differing }} of {{ run.steps }} steps have other orders,
the first at {{ run.first_s }} s.</p>
{% endif %}
{% if run.missing %}<p class="bad">Not to the end: {{ run.missing }}.</p>{% endif %}
{% if run.compared %}
<p>In the mean {{ run.diverted }} of the calls would go to other servers.
{% if run.valid_until is none %}It stays so small that the recorded reports tell of both.
{% else %}<b>From {{ run.valid_until }} s on it is too much for the recorded reports to tell how the day
would have gone</b>: they answer the recorded orders. After that the page shows what the module makes of
those reports, no more.{% endif %}</p>
<table><tr><th></th><th>recorded</th><th>replayed</th></tr>
{% for name, old, new in run.counts %}
<tr><td>{{ name }}</td><td class="n">{{ old }}</td><td class="n">{{ new }}</td></tr>
{% endfor %}</table>
<h3>Nearest to a limit</h3>
<table><tr><th>limit</th><th>recorded</th><th>replayed</th></tr>
{% for name, old, new in run.approaches %}
<tr><td>{{ name }}</td><td>{{ old }}</td><td>{{ new }}</td></tr>
{% endfor %}</table>
{% if run.first %}
<h3>Where they part</h3>
<pre>{% for title, rows in run.first %}{% for row in rows %}{{ title }}: {{ row }}
{% endfor %}{% endfor %}</pre>
{% endif %}
{% for name, svg in run.charts %}
<figure><figcaption>{{ name }}</figcaption>{{ svg|safe }}</figure>
{% endfor %}
{% endif %}
{% endfor %}
</body></html>
""")


def chart(curves: list[tuple[str, list[Point]]], y_title: str, valid_until_s: float | None = None) -> str:
    """Return an SVG chart of named curves over time. A dashed line marks the end of a replay's validity."""
    figure = pygal.XY(
        style=STYLE,
        show_dots=False,
        height=260,
        width=520,
        x_title="second",
        y_title=y_title,
        legend_at_bottom=True,
        js=(),
        explicit_size=False,
        no_data_text="nothing",
        range=None,
    )
    for name, points in curves:
        figure.add(name, points)
    if valid_until_s is not None:
        top = max((value for _, points in curves for _, value in points), default=1.0)
        figure.add(
            "tells until", [(valid_until_s, 0), (valid_until_s, top)], stroke_style={"dasharray": "4, 4"}
        )
    # pygal embeds its settings as a script for tooltips, which the page does not use.
    return re.sub(
        r"<script.*?</script>",
        "",
        figure.render(is_unicode=True, disable_xml_declaration=True),
        flags=re.DOTALL,
    )


def charts(compared: ComparisonResult) -> list[tuple[str, str]]:
    """Return the title and the SVG of each chart."""
    until_s = compared.valid_until_s

    def share_chart(change: ShareChange) -> str:
        """Return a chart of a server's share of the requests, recorded and replayed."""
        recorded, replayed = compared.share_series[change.server]
        return chart([("recorded", recorded), ("replayed", replayed)], "share", until_s)

    diverted = chart([("part of calls", compared.diverted_series)], "part", until_s)
    return [
        ("Calls that would go elsewhere", diverted),
        *(
            (f"{change.server}: its share of the calls", share_chart(change))
            for change in compared.share_changes[:MAX_SHARE_CHARTS]
        ),
    ]


def approach_text(approach: LimitApproach | None, begin_us: int) -> str:
    """Format the closest approach to a limit: fraction, time and subject."""
    if approach is None:
        return "-"
    return f"{approach.fraction:.0%} at {(approach.at_us - begin_us) / 1e6:.1f} s ({approach.subject})"


def difference_fields(difference: Difference, begin_us: int) -> dict[str, Any]:
    """Return the template fields of the first difference."""
    return {
        "first_s": f"{(difference.now - begin_us) / 1e6:.2f}",
        "first": [
            (title, [describe(value) for value in values[:MAX_LISTED_VALUES]])
            for title, values in (
                ("heard before", difference.events_before),
                ("heard", difference.events),
                ("no longer", difference.recorded),
                ("instead", difference.replayed),
            )
        ],
    }


def comparison_fields(compared: ComparisonResult, begin_us: int) -> dict[str, Any]:
    """Return the template fields of a comparison."""
    until_s = compared.valid_until_s
    recorded_s, replayed_s = compared.throttled_s
    return {
        "diverted": f"{compared.diverted:.1%}",
        "valid_until": None if until_s is None else f"{until_s:.0f}",
        "counts": [
            *((name, recorded, replayed) for name, (recorded, replayed) in compared.counts.items()),
            ("seconds throttled", f"{recorded_s:.1f}", f"{replayed_s:.1f}"),
        ],
        "approaches": [
            (limit, approach_text(recorded, begin_us), approach_text(replayed, begin_us))
            for limit, (recorded, replayed) in compared.approaches.items()
        ],
        "charts": charts(compared),
    }


def replay_fields(result: ReplayResult) -> dict[str, Any]:
    """Return the template fields of a replay."""
    incarnation, compared = result.incarnation, result.comparison
    started = datetime.fromtimestamp(incarnation.wall_us / 1e6, UTC).isoformat(sep=" ", timespec="seconds")
    fields: dict[str, Any] = {
        "director": incarnation.director,
        "started": started,
        "steps": result.steps,
        "commands": result.commands,
        "differing": result.differing,
        "missing": result.missing and result.missing.reason,
        "first": (),
        "compared": compared is not None,
    }
    if result.first_difference:
        fields |= difference_fields(result.first_difference, incarnation.now)
    if compared is not None:
        fields |= comparison_fields(compared, incarnation.now)
    return fields


def page(title: str, results: list[ReplayResult]) -> str:
    """Render the page for compared replays."""
    return PAGE.render(title=title, replays=[replay_fields(result) for result in results])
