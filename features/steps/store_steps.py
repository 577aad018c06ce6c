"""Steps for the table service."""

from behave import given, then, when
from bilberryhitch_platform import MemoryTables, Put, commit
from bilberryhitch_testing import FaultyTables, run_virtual


@given("a table service that loses the answer of the next transaction")
def lose_next_answer(context):
    context.inner = MemoryTables()
    context.tables = FaultyTables(context.inner)
    context.tables.lose_answers = 1


@when("a row is committed")
def commit_row(context):
    context.result = run_virtual(
        commit(context.tables, [], [Put("a", b"1")], "operation-1")
    )


@then("the commit succeeds")
def commit_succeeds(context):
    assert context.result.is_ok()


@then("the row was written exactly once")
def written_once(context):
    assert context.inner.revision == 1
