import ast
from collections import Counter
from pathlib import Path

from bilberryhitch_telemetry.catalogue import render_catalogue
from bilberryhitch_telemetry.events import all_events

ROOT = Path(__file__).parents[3]


def test_committed_catalogue_is_up_to_date():
    # Guards against events that are missing from the page for operators.
    committed = (ROOT / "docs/log-events.md").read_text(encoding="utf-8")
    assert committed == render_catalogue()


def test_numbers_and_names_are_unique():
    # Guards against two events that match the same alert.
    for field in ("number", "name"):
        counts = Counter(getattr(event, field) for event in all_events())
        assert [value for value, count in counts.items() if count > 1] == []


def test_every_logged_event_is_in_the_catalogue():
    # Guards against log calls with events that are not defined in events.py.
    known = {event.name.upper() for event in all_events()}
    used = {
        node.attr
        for path in ROOT.glob("libs/*/src/**/*.py")
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == "events"
        and node.attr.isupper()
    }
    assert used <= known
