"""Replays with another version of the decision modules, loaded from a file or from a folder."""

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from rainpick import decisions, model
from rainpick.decisions import send_queue
from rainpick.decisions.director import Director
from rainpick.record.digest import decisions_digest
from rainpick.record.load import ModuleError, load_decisions, parse_setting_overrides
from tests.record.recorded_day import record_day, replay_all

INSTALLED = Path(decisions.__file__).parent
NEVER_FITS = "\n\nSendQueue.exceeded_limit = lambda queue, lines, quota: Limit.QUEUE\n"


def copy_installed(folder):
    return Path(shutil.copytree(INSTALLED, folder, ignore=shutil.ignore_patterns("__pycache__")))


def copy_with_slow_queue(folder):
    copy_installed(folder)
    with open(folder / "send_queue.py", "a") as file:
        file.write(NEVER_FITS)
    return folder


def write_modules(folder, **sources):
    folder.mkdir(exist_ok=True)
    for name, source in sources.items():
        (folder / f"{name}.py").write_text(source)
    return folder


def logged_text(director):
    (command,) = director.step(0, [])
    return command.text


def test_a_change_in_a_single_module_changes_the_digest(tmp_path):
    same, changed = copy_installed(tmp_path / "same"), copy_with_slow_queue(tmp_path / "other")
    assert decisions_digest(same) == decisions_digest() != decisions_digest(changed)


def test_the_digest_covers_the_names_of_the_modules_and_no_other_files(tmp_path):
    folder = write_modules(tmp_path / "a", one="x = 1\n", two="")
    digest = decisions_digest(folder)
    assert decisions_digest(write_modules(tmp_path / "b", one="", two="x = 1\n")) != digest
    assert decisions_digest(write_modules(tmp_path / "c", one="x = 1\n")) != digest
    (folder / "__pycache__").mkdir()
    (folder / "__pycache__" / "changed.cpython-311.pyc").write_bytes(b"compiled")
    assert decisions_digest(folder) == digest


def test_the_digest_does_not_depend_on_the_order_in_which_a_folder_is_listed(tmp_path, monkeypatch):
    folder = copy_installed(tmp_path / "same")
    glob = Path.rglob
    monkeypatch.setattr(Path, "rglob", lambda path, pattern: sorted(glob(path, pattern), reverse=True))
    assert decisions_digest(folder) == decisions_digest(INSTALLED)


def test_a_folder_with_another_send_queue_gives_other_commands(tmp_path):
    record_day(tmp_path / "day")
    (same,) = replay_all(tmp_path / "day", load_decisions(copy_installed(tmp_path / "same")))
    assert same.differing == 0
    assert callable(send_queue.SendQueue.exceeded_limit)
    (changed,) = replay_all(tmp_path / "day", load_decisions(copy_with_slow_queue(tmp_path / "other")))
    assert changed.differing and changed.commands == same.commands
    # The installed modules are not affected.
    assert replay_all(tmp_path / "day") == [same]
    assert "Director" in vars(sys.modules["rainpick.decisions.director"])
    assert sys.modules["rainpick.decisions.send_queue"] is decisions.send_queue is send_queue


def test_a_folder_is_replayed_in_another_process(tmp_path):
    record_day(tmp_path / "day")
    copy_with_slow_queue(tmp_path / "other")
    script = "\n".join(
        [
            "import sys",
            "from pathlib import Path",
            "from rainpick.record.load import load_decisions",
            "from rainpick.record.clock import replay_together",
            "day, modules = map(Path, sys.argv[1:])",
            "(result,) = replay_together([day], load_decisions(modules))",
            "sys.exit(0 if result.differing else 1)",
        ]
    )
    for modules, expected in ((tmp_path / "other", 0), (INSTALLED, 1)):
        command = [sys.executable, "-c", script, str(tmp_path / "day"), str(modules)]
        found = subprocess.run(command, env={**os.environ, "PYTHONHASHSEED": "5"}, capture_output=True)
        assert found.returncode == expected, found.stderr.decode()


@pytest.mark.parametrize(
    "imports, name",
    [
        ("from rainpick.decisions.words import TEXT", "TEXT"),
        ("from rainpick.decisions import words", "words.TEXT"),
        (
            "from rainpick import decisions, model\nfrom rainpick.decisions import words",
            "decisions.words.TEXT",
        ),
        ("import rainpick.decisions.words", "rainpick.decisions.words.TEXT"),
        ("import rainpick.decisions.words as other", "other.TEXT"),
        ("import rainpick.model\nimport rainpick.decisions.words", "rainpick.decisions.words.TEXT"),
        ("from .words import TEXT", "TEXT"),
        ("from . import words", "words.TEXT"),
        ("from rainpick.decisions.part.inner import TEXT", "TEXT"),
    ],
)
@pytest.mark.parametrize("when", ["at the top", "in a function"])
def test_each_form_of_import_gives_the_modules_of_the_folder(tmp_path, imports, name, when):
    top, within = (imports, "pass") if when == "at the top" else ("", imports.replace("\n", "; "))
    text = (
        f"from rainpick.model import LogMessage\n{top}\n"
        f"class Director:\n    def step(self, now, events):\n        {within}\n"
        f"        return [LogMessage({name})]\n"
    )
    for word in ("first", "second"):  # both are loaded at the same time and must stay separate
        folder = write_modules(tmp_path / word, director=text, words=f"TEXT = {word!r}\n")
        write_modules(
            folder / "part", inner=f"from rainpick.decisions.words import TEXT\nassert TEXT == {word!r}\n"
        )
    first, second = load_decisions(tmp_path / "first")(), load_decisions(tmp_path / "second")()
    assert [logged_text(director) for director in (first, second, first)] == ["first", "second", "first"]
    assert type(first.step(0, [])[0]) is model.LogMessage


def test_a_module_that_a_folder_lacks_is_not_imported_from_the_installed_package(tmp_path):
    text = "from rainpick.decisions.send_queue import SendQueue\nclass Director: pass\n"
    with pytest.raises(ModuleError, match="send_queue"):
        load_decisions(write_modules(tmp_path / "short", director=text))
    assert load_decisions(write_modules(tmp_path / "short", send_queue="class SendQueue: pass\n"))


def test_an_edited_module_is_loaded_without_the_bytecode_cache(tmp_path):
    """Guards against stale code: the cache identifies a source by its size and modification second only."""
    text = "from .words import TEXT\nfrom rainpick.model import LogMessage\nclass Director:\n"
    text += "    def step(self, now, events):\n        return [LogMessage(TEXT)]\n"
    found = [
        logged_text(
            load_decisions(write_modules(tmp_path / "edited", director=text, words=f"TEXT = {number}\n"))()
        )
        for number in range(3)
    ]
    # All three sources have the same size and may be written within one second.
    assert found == [0, 1, 2]


@pytest.mark.parametrize(
    "sources, reason",
    [
        ({"words": ""}, "has no director.py"),
        ({"director": "x = 1\n"}, "has no Director"),
        ({"director": "from rainpick.decisions import words\n", "words": "1 / 0\n"}, "ZeroDivisionError"),
        ({"director": "from .words import x\n", "words": "("}, "SyntaxError"),
        ({"director": "", "__init__": "1 / 0\n"}, "ZeroDivisionError"),
    ],
)
def test_a_folder_without_a_director_is_an_error_and_leaves_the_import_system_unchanged(
    tmp_path, sources, reason
):
    before = list(sys.meta_path), set(sys.modules)
    with pytest.raises(ModuleError, match=reason):
        load_decisions(write_modules(tmp_path / "bad", **sources))
    assert (list(sys.meta_path), set(sys.modules)) == before


def test_a_file_imports_the_installed_modules(tmp_path):
    text = "from rainpick.decisions import director\nDirector = director.Director\n"
    (tmp_path / "text.py").write_text(text)
    assert load_decisions(tmp_path / "text.py") is Director


def test_a_file_with_another_director_gives_other_commands(tmp_path):
    record_day(tmp_path / "day")
    text = INSTALLED / "director.py"
    (tmp_path / "slow.py").write_text(text.read_text().replace("clock.now + TICK_US", "clock.now + 10**12"))
    (changed,) = replay_all(tmp_path / "day", load_decisions(tmp_path / "slow.py"), compare=True)
    assert (
        changed.differing and changed.comparison.counts["lines"][0] != changed.comparison.counts["lines"][1]
    )
    (same,) = replay_all(tmp_path / "day", load_decisions(text))
    assert same.differing == 0
    for bad_source, reason in (
        ("x = 1\n", "has no Director"),
        ("1 / 0\n", "ZeroDivisionError"),
        ("(", "SyntaxError"),
    ):
        (tmp_path / "bad.py").write_text(bad_source)
        with pytest.raises(ModuleError, match=reason):
            load_decisions(tmp_path / "bad.py")


def test_values_of_changed_settings_are_json_or_strings():
    assert parse_setting_overrides(["a=1", "b=x", 'c="1"', "d=[1, 2]"]) == {
        "a": 1,
        "b": "x",
        "c": "1",
        "d": [1, 2],
    }
    for argument in ("a", "=1"):
        with pytest.raises(ValueError, match="NAME=VALUE"):
            parse_setting_overrides([argument])
