"""Responses that have no body, though they may name the length that one would have."""

from gateway_harness import GatewayTestCase
from standins import REQUEST_ID, make_response


class BodilessResponseTestCase(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.server = self.backend("i-1")
        self.entry = self.started_host()
        self.entry.await_log("backend server i-1 ")

    def behave_as(self, status, version="HTTP/1.1"):
        """Responses name a Content-Length and end with their head; those of HTTP/1.0 end their connection."""
        def behave(request, connection):
            self.server.run(request)
            if request[0].startswith("GET") and status.startswith("200"):
                return make_response(request, b"from i-1")
            head = make_response(request, b"from i-1", status=status)[:-len(b"from i-1")]
            if version == "HTTP/1.1":
                return head
            connection.sendall(head.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
            return None
        self.server.behave = behave

    def head(self, more=None):
        """Returns (status, headers, Content-Length) of the answer to a HEAD request."""
        connection = self.entry.connect()
        self.addCleanup(connection.close)
        connection.request("HEAD", "/x/1", headers={"Host": "a.example", REQUEST_ID: "id-0",
                                                    "Heatherlever-Deadline-Remaining": "3000", **(more or {})})
        response = connection.getresponse()
        self.assertEqual(response.read(), b"")
        return response.status, response.headers, response.headers["Content-Length"]

    def check_served(self, method, status):
        """Two requests, and one with another method; each runs once."""
        for number in (1, 2):
            connection = self.entry.connect()
            connection.request(method, "/x/1", headers={
                "Host": "a.example", REQUEST_ID: f"id-{number}", "Heatherlever-Deadline-Remaining": "3000"})
            response = connection.getresponse()
            self.assertEqual((response.status, response.read()), (status, b""))
            length = response.headers["Content-Length"]
            connection.close()
        self.assertEqual(self.entry.request(request_id="id-3")[0::2],
                         (200, b"from i-1") if status == 200 else (status, b""))
        self.assertEqual(self.server.runs, ["id-1", "id-2", "id-3"])
        return length

    # Each of these waited for a body until the deadline (504), or counted the end of the connection as a crash (502).
    def test_head_request_is_answered_with_the_length_that_the_server_names(self):
        self.behave_as("200 OK")
        self.assertEqual(self.check_served("HEAD", 200), str(len("from i-1")))

    def test_head_request_to_a_server_that_closes_the_connection(self):
        self.behave_as("200 OK", "HTTP/1.0")
        self.check_served("HEAD", 200)

    def test_no_content_with_a_length(self):
        self.behave_as("204 No Content")
        self.check_served("GET", 204)

    def test_not_modified_with_a_length(self):
        self.behave_as("304 Not Modified")
        self.check_served("GET", 304)

    def test_body_after_the_response_to_a_head_request_belongs_to_no_request(self):
        self.server.behave = lambda request, connection: make_response(request, b"from i-1")
        connection = self.entry.connect()
        self.addCleanup(connection.close)
        connection.request("HEAD", "/x/1", headers={"Host": "a.example", REQUEST_ID: "id-1"})
        response = connection.getresponse()
        self.assertEqual((response.status, response.read()), (200, b""))
        self.assertEqual(self.entry.request(request_id="id-2")[0::2], (200, b"from i-1"))

    # The late responses were framed by the method of the request that they came upon (504 or 502).
    def test_second_response_to_a_head_request_is_not_taken_for_a_later_requests(self):
        for length in (8, 60, 5000):
            late = {}
            def behave(request, connection, length=length, late=late):
                if request[0].startswith("HEAD"):
                    late[connection] = make_response(request, b"").replace(b"Length: 0", b"Length: %d" % length)
                    return late[connection]
                connection.sendall(late.get(connection, b""))
                return make_response(request, b"from i-1")
            self.server.behave = behave
            self.assertEqual(self.head()[0], 200)
            self.assertEqual(self.entry.request(request_id=f"id-{length}")[0::2], (200, b"from i-1"))

    def test_second_response_to_a_get_request_is_not_taken_for_a_head_requests(self):
        late = {}
        def behave(request, connection):
            if request[0].startswith("HEAD"):
                connection.sendall(late.get(connection, b""))
                return make_response(request, b"")
            late[connection] = make_response(request, b"from i-1")
            return late[connection]
        self.server.behave = behave
        self.assertEqual(self.entry.request(request_id="id-1")[0], 200)
        self.assertEqual(self.head()[0], 200)

    # The next request on the connection got 502, though it had run.
    def test_body_that_follows_no_content_later_belongs_to_no_request(self):
        late = {}
        def behave(request, connection):
            if request[0].startswith("GET"):
                late[connection] = b"later"
                return make_response(request, b"", status="204 No Content").replace(b"Length: 0", b"Length: 5")
            connection.sendall(late.get(connection, b""))
            return make_response(request, b"from i-1")
        self.server.behave = behave
        self.assertEqual(self.entry.request(request_id="id-1")[0], 204)
        self.assertEqual(self.entry.request("/w/1", method="POST", body=b"x", request_id="id-2")[0], 200)

    # 502: a length over the limit of a body counted, though there is no body.
    def test_length_of_a_large_object_is_no_error(self):
        def behave(request, connection):
            return make_response(request, b"", status=statuses[-1]).replace(b"Length: 0", b"Length: 20000000")
        self.server.behave = behave
        statuses = ["200 OK"]
        self.assertEqual(self.head()[0::2], (200, "20000000"))
        statuses.append("304 Not Modified")
        self.assertEqual(self.entry.request(request_id="id-2")[0], 304)

    # The host stated a length of 0.
    def test_head_request_whose_server_names_no_length_is_answered_without_one(self):
        self.server.behave = lambda request, connection: make_response(request, b"").replace(
            b"Content-Length: 0", b"Transfer-Encoding: chunked")
        self.assertEqual(self.head()[0::2], (200, None))

    # Builds that don't know of bodiless responses would wait for a body of the stated length.
    def test_host_that_passes_a_head_request_on_is_told_no_length(self):
        self.behave_as("200 OK")
        self.assertEqual(self.head({"Heather-Detour": "2;1"})[0::2], (200, "0"))
