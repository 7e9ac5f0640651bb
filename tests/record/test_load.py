"""Another text of the decisions, a file or a folder of modules, takes the place of the installed changed."""

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
from rainpick.record.load import ModuleError, load_decisions, parse_changes
from tests.record.recorded_day import record_day, replay_all

INSTALLED = Path(decisions.__file__).parent
NOTHING_FITS = "\n\nSendQueue.fits = lambda queue, lines, claim: False\n"


def copy_installed(folder):
    return Path(shutil.copytree(INSTALLED, folder, ignore=shutil.ignore_patterns("__pycache__")))


def copy_with_slow_queue(folder):
    copy_installed(folder)
    with open(folder / "send_queue.py", "a") as file:
        file.write(NOTHING_FITS)
    return folder


def write_modules(folder, **texts):
    folder.mkdir(exist_ok=True)
    for name, text in texts.items():
        (folder / f"{name}.py").write_text(text)
    return folder


def first_order(director):
    (order,) = director.step(0, [])
    return order.text


def test_two_folders_that_differ_in_the_send_queue_alone_have_different_digests(tmp_path):
    same, other = copy_installed(tmp_path / "same"), copy_with_slow_queue(tmp_path / "other")
    assert decisions_digest(same) == decisions_digest() != decisions_digest(other)


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


def test_a_folder_whose_send_queue_differs_gives_the_orders_of_that_queue(tmp_path):
    record_day(tmp_path / "day")
    (same,) = replay_all(tmp_path / "day", load_decisions(copy_installed(tmp_path / "same")))
    assert same.differing == 0
    assert callable(send_queue.SendQueue.fits)
    (other,) = replay_all(tmp_path / "day", load_decisions(copy_with_slow_queue(tmp_path / "other")))
    assert other.differing and other.orders == same.orders
    # The installed modules are as they were.
    assert replay_all(tmp_path / "day") == [same]
    assert "Director" in vars(sys.modules["rainpick.decisions.director"])
    assert sys.modules["rainpick.decisions.send_queue"] is decisions.send_queue is send_queue


def test_a_folder_is_replayed_in_another_process(tmp_path):
    record_day(tmp_path / "day")
    copy_with_slow_queue(tmp_path / "other")
    code = "\n".join(
        [
            "import sys",
            "from pathlib import Path",
            "from rainpick.record.load import load_decisions",
            "from rainpick.record.clock import replay_together",
            "day, text = map(Path, sys.argv[1:])",
            "(result,) = replay_together([day], load_decisions(text))",
            "sys.exit(0 if result.differing else 1)",
        ]
    )
    for text, expected in ((tmp_path / "other", 0), (INSTALLED, 1)):
        command = [sys.executable, "-c", code, str(tmp_path / "day"), str(text)]
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
    for word in ("first", "second"):  # both at once, apart from each other
        folder = write_modules(tmp_path / word, director=text, words=f"TEXT = {word!r}\n")
        write_modules(
            folder / "part", inner=f"from rainpick.decisions.words import TEXT\nassert TEXT == {word!r}\n"
        )
    first, second = load_decisions(tmp_path / "first")(), load_decisions(tmp_path / "second")()
    assert [first_order(director) for director in (first, second, first)] == ["first", "second", "first"]
    assert type(first.step(0, [])[0]) is model.LogMessage


def test_a_folder_never_falls_back_on_an_installed_decision_module(tmp_path):
    text = "from rainpick.decisions.send_queue import SendQueue\nclass Director: pass\n"
    with pytest.raises(ModuleError, match="send_queue"):
        load_decisions(write_modules(tmp_path / "short", director=text))
    assert load_decisions(write_modules(tmp_path / "short", send_queue="class SendQueue: pass\n"))


def test_a_text_that_is_edited_is_loaded_as_it_stands_now(tmp_path):
    text = "from .words import TEXT\nfrom rainpick.model import LogMessage\nclass Director:\n"
    text += "    def step(self, now, events):\n        return [LogMessage(TEXT)]\n"
    found = [
        first_order(
            load_decisions(write_modules(tmp_path / "edited", director=text, words=f"TEXT = {number}\n"))()
        )
        for number in range(3)
    ]
    assert found == [0, 1, 2]  # also within one second, and of one size


@pytest.mark.parametrize(
    "texts, why",
    [
        ({"words": ""}, "has no director.py"),
        ({"director": "x = 1\n"}, "has no Director"),
        ({"director": "from rainpick.decisions import words\n", "words": "1 / 0\n"}, "ZeroDivisionError"),
        ({"director": "from .words import x\n", "words": "("}, "SyntaxError"),
        ({"director": "", "__init__": "1 / 0\n"}, "ZeroDivisionError"),
    ],
)
def test_a_folder_without_a_director_is_an_error_that_leaves_nothing_behind(tmp_path, texts, why):
    before = list(sys.meta_path), set(sys.modules)
    with pytest.raises(ModuleError, match=why):
        load_decisions(write_modules(tmp_path / "bad", **texts))
    assert (list(sys.meta_path), set(sys.modules)) == before


def test_a_file_imports_the_installed_modules(tmp_path):
    text = "from rainpick.decisions import director\nDirector = director.Director\n"
    (tmp_path / "text.py").write_text(text)
    assert load_decisions(tmp_path / "text.py") is Director


def test_another_text_of_the_director_gives_other_orders(tmp_path):
    record_day(tmp_path / "day")
    text = INSTALLED / "director.py"
    (tmp_path / "slow.py").write_text(text.read_text().replace("clock.now + TICK_US", "clock.now + 10**12"))
    (changed,) = replay_all(tmp_path / "day", load_decisions(tmp_path / "slow.py"), compare=True)
    assert (
        changed.differing and changed.comparison.counts["lines"][0] != changed.comparison.counts["lines"][1]
    )
    (same,) = replay_all(tmp_path / "day", load_decisions(text))
    assert same.differing == 0
    for words, why in (
        ("x = 1\n", "has no Director"),
        ("1 / 0\n", "ZeroDivisionError"),
        ("(", "SyntaxError"),
    ):
        (tmp_path / "bad.py").write_text(words)
        with pytest.raises(ModuleError, match=why):
            load_decisions(tmp_path / "bad.py")


def test_changes_are_json_or_text_and_have_a_name():
    assert parse_changes(["a=1", "b=x", 'c="1"', "d=[1, 2]"]) == {"a": 1, "b": "x", "c": "1", "d": [1, 2]}
    for word in ("a", "=1"):
        with pytest.raises(ValueError, match="NAME=VALUE"):
            parse_changes([word])
