import asyncio
import json
import math

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from bilberryhitch_api.bodies import query_number, read_object
from bilberryhitch_api.errors import error_middleware, error_response, http_status
from bilberryhitch_model import Shape, errors

ERROR_STATUSES = [
    (errors.BadInput("a", math.nan, "r"), 400),
    (errors.Unauthenticated(), 401),
    (errors.NotFound("job", "x"), 404),
    (errors.ConfigConflict(3, "ada"), 409),
    (errors.TableInvalid("r", "f", 1, "u"), 422),
    (errors.ShapeImpossible(Shape(), "r"), 422),
    (errors.QueueFull("p", 1, 0.2), 429),
    (errors.NotRun("r"), 503),
    (errors.StoreAnswerLost("op"), 504),
    (errors.PeerTimeout("h"), 500),
]


@pytest.mark.parametrize(("error", "status"), ERROR_STATUSES)
def test_error_is_mapped_to_status_and_strict_json(error, status):
    response = error_response(error)
    assert http_status(error) == response.status == status
    body = json.loads(response.text, parse_constant=pytest.fail)
    assert body["error"] == error.code


async def _parse_request(request):
    if "crash" in request.query:
        raise RuntimeError("internal detail")
    fields = {"count": int, "names": list}
    limit = query_number(request, "limit", 5, 100)
    return web.json_response([limit, await read_object(request, 64, fields)])


async def _call(method, path, data):
    app = web.Application(middlewares=[error_middleware])
    app.router.add_post("/", _parse_request)
    async with TestClient(TestServer(app)) as client:
        response = await client.request(method, path, data=data)
        return response.status, await response.json()


CALLS = [
    ("POST", "/", b'{"count": 1}', 200, None),
    ("POST", "/", b'{"count": 1, "count": 2}', 400, "count"),
    ("POST", "/", b'{"count": true}', 400, "count"),
    ("POST", "/", b'{"other": 1}', 400, "other"),
    ("POST", "/", b'{"count"', 400, "1:9"),
    ("POST", "/", b"[]", 400, "$"),
    ("POST", "/", b" " * 65, 413, "body"),
    ("POST", "/?limit=0", b"{}", 400, "limit"),
    ("POST", "/?limit=" + "9" * 99, b"{}", 400, "limit"),
    ("GET", "/", None, 405, None),
    ("GET", "/none", None, 404, None),
    ("POST", "/?crash", b"", 500, None),
]


@pytest.mark.parametrize(("method", "path", "data", "status", "field"), CALLS)
def test_invalid_calls_get_a_json_response_without_traceback(
    method, path, data, status, field
):
    found, body = asyncio.run(_call(method, path, data))
    assert found == status
    if field is not None:
        assert body["field"] == field
        assert body["rule"]
    assert "internal detail" not in json.dumps(body)
