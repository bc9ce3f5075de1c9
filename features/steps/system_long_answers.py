"""Steps for answers that are longer than the buffer of a connection."""

import http.client

import behave

from features.steps import system_crowds

LIMIT_S = 30.0


@behave.then(
    "an answer of {count:d} bytes that ends by {framing} arrives whole, twice on one"
    " connection"
)
def step_whole(context, count, framing):
    connection = http.client.HTTPConnection(context.front, timeout=LIMIT_S)
    try:
        for number in range(2):
            headers = {"Host": "host.example", "Authorization": "Bearer key-1"}
            headers["X-Attempt-Id"] = f"attempt-{number}"
            path = f"/old/answer/{framing}/{count}"
            connection.request("POST", path, b"one", headers)
            response = connection.getresponse()
            assert response.status == 200, response.status
            body = response.read()
            assert body == system_crowds.long_body(count), len(body)
    finally:
        connection.close()
