"""A host is stopped as planned, under load."""

import http.client
import threading
import time
import unittest

from gateway_harness import GatewayTestCase
from standins import DEADLINE, REQUEST_ID, make_response

CALLERS = 8


class PlannedStopTest(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.cut = []
        self.answered = 0
        self.gone = threading.Event()

    # Callers that keep to a stopping host kept it busy until its grace period ended; what then ran was cut off.
    def test_callers_that_keep_to_a_stopping_host_lose_no_request_that_a_server_ran(self):
        def work(request, connection):
            backend.run(request)
            time.sleep(0.4)
            return make_response(request, b"done")

        backend = self.backend("i-1", work, slots=100)
        host = self.started_host()
        host.await_log("backend server i-1 ")
        callers = [threading.Thread(target=self.keep_asking, args=(host, number)) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(1)
        host.process.terminate()
        self.assertEqual(0, host.process.wait(timeout=30))
        self.gone.set()
        for caller in callers:
            caller.join()
        ran = set(backend.runs)
        self.assertEqual([], [each for each in self.cut if each in ran])
        self.assertGreater(self.answered, CALLERS)

    def keep_asking(self, host, number):
        connection = None
        count = 0
        while not self.gone.is_set():
            count += 1
            name = f"{number}-{count}"
            try:
                connection = connection or host.connect()
                connection.request("GET", f"/x/{name}", headers={REQUEST_ID: name, DEADLINE: "3000", "Host": "a.example"})
                response = connection.getresponse()
                response.read()
            except (http.client.HTTPException, OSError):
                self.cut.append(name)
                connection = None
                continue
            self.answered += response.status == 200
            if response.headers["Connection"] == "close":
                connection.close()
                connection = None


if __name__ == "__main__":
    unittest.main()
