import pytest
from bilberryhitch_model import Outcome, RequestCall
from bilberryhitch_model.errors import StoreAnswerLost, StoreUnavailable
from bilberryhitch_platform import MemoryTables
from bilberryhitch_requests.claims import Claims, claim_row_key, request_digest
from bilberryhitch_testing import FaultyTables, run_virtual

CALL = RequestCall("acme", "c", "r", b"body", "k")
KEY = claim_row_key("acme", "k")


def make_claims(tables):
    ids = iter(f"op{n}" for n in range(100))
    return Claims(tables, now=lambda: 5.0, new_id=lambda: next(ids))


def with_tables(check):
    async def main():
        inner = MemoryTables()
        tables = FaultyTables(inner)
        await check(inner, tables, make_claims(tables))

    run_virtual(main())


def test_second_claim_returns_the_row_of_the_first():
    async def check(inner, tables, claims):
        assert (await claims.claim(CALL, "h1")).is_ok()
        row = (await claims.claim(CALL, "h2")).error
        assert (row.handle, row.digest) == ("h1", request_digest(CALL))

    with_tables(check)


def test_released_key_can_be_claimed_again_and_repeated_release_has_no_effect():
    # Guards against a delayed release that deletes the claim of another call.
    async def check(inner, tables, claims):
        first = (await claims.claim(CALL, "h1")).ok
        tables.lose_answers = 1
        await claims.release(first)
        assert (await claims.claim(CALL, "h2")).is_ok()
        await claims.release(first)
        assert (await claims.claim(CALL, "h3")).error.handle == "h2"

    with_tables(check)


def test_lost_claim_answer_is_resolved():
    async def check(inner, tables, claims):
        tables.lose_answers = 3
        claim = (await claims.claim(CALL, "h1")).ok
        assert claim.revision == (await inner.get(KEY)).revision

    with_tables(check)


def test_claim_fails_while_the_store_is_down():
    async def check(inner, tables, claims):
        tables.down = True
        with pytest.raises(StoreUnavailable):
            await claims.claim(CALL, "h1")

    with_tables(check)


def test_unresolved_claim_is_removed_once_the_store_is_back():
    async def check(inner, tables, claims):
        tables.lose_answers = 10
        with pytest.raises(StoreAnswerLost) as caught:
            await claims.claim(CALL, "h1")
        assert await inner.get(KEY) is not None
        tables.lose_answers = 0
        await claims.remove_unresolved(CALL, "h1", caught.value.operation_id)
        assert await inner.get(KEY) is None

    with_tables(check)


def test_outcome_is_written_once():
    async def check(inner, tables, claims):
        claim = (await claims.claim(CALL, "h1")).ok
        tables.lose_answers = 1
        await claims.write_outcome(claim, Outcome("completed", b"\x00whole"))
        await claims.write_outcome(claim, Outcome("failed"))
        row = await claims.read_outcome("h1")
        assert (row.client_account, row.outcome.body) == ("acme", b"\x00whole")

    with_tables(check)
