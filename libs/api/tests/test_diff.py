from bilberryhitch_api.diff import FieldChange, diff_rows
from bilberryhitch_model import Pool


def test_difference_lists_added_removed_and_changed_rows():
    before = {"a": Pool("a", "job"), "b": Pool("b", "job"), "c": Pool("c", "job")}
    after = [Pool("a", "job"), Pool("b", "job", borrowing=False), Pool("d", "job")]
    difference = diff_rows(before, after)
    assert difference.added == ("d",)
    assert difference.removed == ("c",)
    assert difference.changed == {"b": (FieldChange("borrowing", True, False),)}


def test_equal_tables_have_an_empty_difference():
    assert diff_rows({"a": Pool("a", "job")}, [Pool("a", "job")]).is_empty
