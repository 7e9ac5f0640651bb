"""A replay as one HTML page with charts: nothing else is loaded, so it can be sent to others."""

from __future__ import annotations

import re
from datetime import UTC, datetime
from typing import Any

import jinja2
import pygal
from pygal.style import Style

from rainpick.record.replay import Played
from rainpick.record.schema import describe

STYLE = Style(
    background="transparent",
    plot_background="transparent",
    font_family="sans-serif",
    colors=("#7a7a7a", "#c0392b", "#2471a3", "#229954", "#b9770e", "#7d3c98"),
)
CHARTS = 8  # servers that get one
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
{% for one in lives %}
<h2>Director {{ one.life.director }}, from {{ one.begun }}</h2>
{% if not one.differing %}
<p class="good">{{ one.steps }} steps played again: every one of {{ one.orders }} orders is the same.</p>
{% else %}
<p class="bad">{{ one.differing }} of {{ one.steps }} steps have other orders,
the first at {{ one.first_s }} s.</p>
{% endif %}
{% if one.hole %}<p class="bad">Not to the end: {{ one.hole }}.</p>{% endif %}
{% if one.told %}
<p>In the mean {{ one.parted }} of the calls would go to other servers.
{% if one.until is none %}It stays so small that the recorded reports tell of both.
{% else %}<b>From {{ one.until }} s on it is too much for the recorded reports to tell how the day
would have gone</b>: they answer the recorded orders. After that the page shows what the module makes of
those reports, no more.{% endif %}</p>
<table><tr><th></th><th>recorded</th><th>replayed</th></tr>
{% for name, old, new in one.counts %}
<tr><td>{{ name }}</td><td class="n">{{ old }}</td><td class="n">{{ new }}</td></tr>
{% endfor %}</table>
<h3>Nearest to a limit</h3>
<table><tr><th>limit</th><th>recorded</th><th>replayed</th></tr>
{% for name, old, new in one.nearest %}
<tr><td>{{ name }}</td><td>{{ old }}</td><td>{{ new }}</td></tr>
{% endfor %}</table>
{% if one.first %}
<h3>Where they part</h3>
<pre>{% for word, rows in one.first %}{% for row in rows %}{{ word }}: {{ row }}
{% endfor %}{% endfor %}</pre>
{% endif %}
{% for name, svg in one.charts %}
<figure><figcaption>{{ name }}</figcaption>{{ svg|safe }}</figure>
{% endfor %}
{% endif %}
{% endfor %}
</body></html>
""")


def chart(lines: list[tuple[str, list[tuple[float, float]]]], title_y: str, mark: float | None = None) -> str:
    figure = pygal.XY(
        style=STYLE,
        show_dots=False,
        height=260,
        width=520,
        x_title="second",
        y_title=title_y,
        legend_at_bottom=True,
        js=(),
        explicit_size=False,
        no_data_text="nothing",
        range=None,
    )
    for name, points in lines:
        figure.add(name, points)
    if mark is not None:
        top = max((value for _, points in lines for _, value in points), default=1.0)
        figure.add("tells until", [(mark, 0), (mark, top)], stroke_style={"dasharray": "4, 4"})
    # The library writes its settings as a script, for tooltips that we do not load.
    return re.sub(
        r"<script.*?</script>",
        "",
        figure.render(is_unicode=True, disable_xml_declaration=True),
        flags=re.DOTALL,
    )


def near(found: Any, begin: int) -> str:
    return "-" if found is None else f"{found.part:.0%} at {(found.at_us - begin) / 1e6:.1f} s ({found.who})"


def one_life(one: Played) -> dict[str, Any]:
    begun = datetime.fromtimestamp(one.life.wall_us / 1e6, UTC).isoformat(sep=" ", timespec="seconds")
    found: dict[str, Any] = {
        "life": one.life,
        "begun": begun,
        "steps": one.steps,
        "orders": one.orders,
        "differing": one.differing,
        "hole": one.hole and one.hole.why,
        "first": (),
        "told": one.compared,
    }
    if one.first:
        found["first_s"] = f"{(one.first.now - one.life.now) / 1e6:.2f}"
        found["first"] = [
            (word, [describe(each) for each in rows[:8]])
            for word, rows in (
                ("heard before", one.first.before),
                ("heard", one.first.heard),
                ("no longer", one.first.recorded),
                ("instead", one.first.replayed),
            )
        ]
    told = one.compared
    if told:
        until = told.tells_until_s
        found |= {
            "parted": f"{told.parted:.1%}",
            "until": None if until is None else f"{until:.0f}",
            "counts": [
                *((name, *pair) for name, pair in told.counts.items()),
                ("seconds throttled", *(f"{each:.1f}" for each in told.throttled_s)),
            ],
            "nearest": [
                (name, *(near(each, one.life.now) for each in pair)) for name, pair in told.nearest.items()
            ],
            "charts": [
                ("Calls that would go elsewhere", chart([("part of calls", told.parting)], "part", until))
            ]
            + [
                (
                    f"{row.server}: its share of the calls",
                    chart(
                        [("recorded", told.series[row.server][0]), ("replayed", told.series[row.server][1])],
                        "share",
                        until,
                    ),
                )
                for row in told.moved[:CHARTS]
            ],
        }
    return found


def page(title: str, found: list[Played]) -> str:
    """The whole page. ``found``: played with ``compare``."""
    return PAGE.render(title=title, lives=[one_life(one) for one in found])
