"""What counts as a breach of the rules on sums over all entry hosts."""

import unittest

from fleet_rules import PROPAGATION_S, Arrival, Bounds, ColdPeriod, FleetRules, Request

BOUNDS = Bounds(cold_per_s={"s": 10}, cold_factor=1.5, cold_slack=5, budget_ratio=0.2, budget_extra=10,
                budget_window_s=10, contact_s=3)
COLD_REQUESTS = 20


class FleetRulesTest(unittest.TestCase):
    def setUp(self):
        self.requests, self.arrivals, self.cold, self.excused, self.crashes = [], [], [], [], {}

    def request(self, request_id, sent=0.0, timeout_s=2.0, **more):
        self.requests.append(Request(request_id, "s", sent, timeout_s, **more))

    def arrive(self, request_id, at, sender="h1", server="i-1", sent=None, **more):
        if request_id not in [request.request_id for request in self.requests]:
            self.request(request_id, at)
        self.arrivals.append(Arrival(request_id, server, "s", sender, at if sent is None else sent, at,
                                     **{"time_left_s": 2.0, **more}))

    def judge(self, rule):
        rules = FleetRules(BOUNDS, self.requests, self.arrivals, self.cold,
                           is_excused=lambda host, begin, end: host in self.excused, crashes=self.crashes)
        return getattr(rules, rule)()

    def cold_requests(self, number, at, **more):
        self.cold = [ColdPeriod("i-1", "s", 100, 103)]
        for n in range(number):
            self.arrive(f"c{len(self.requests)}", at + n * 0.01, sender=f"h{n}", **more)

    def test_sum_over_hosts_at_a_cold_server(self):
        self.cold_requests(COLD_REQUESTS, 101)
        self.assertEqual((0, COLD_REQUESTS), (self.judge("cold_rate").cases, self.judge("cold_rate").worst))
        self.cold_requests(1, 101.5)
        self.assertEqual((1, COLD_REQUESTS + 1), (self.judge("cold_rate").cases, self.judge("cold_rate").worst))

    def test_any_second_counts(self):
        self.cold_requests(COLD_REQUESTS, 101.7)
        self.cold_requests(1, 102.6)
        self.assertEqual(1, self.judge("cold_rate").cases)

    def test_requests_of_more_than_a_second_are_not_summed(self):
        self.cold_requests(COLD_REQUESTS, 101)
        self.cold_requests(1, 102.01)
        self.assertEqual(0, self.judge("cold_rate").cases)

    def test_requests_before_the_second_do_not_count_when_they_arrive_in_it(self):
        self.cold_requests(COLD_REQUESTS + 1, 100.5, sent=100)
        self.assertEqual(0, self.judge("cold_rate").worst)

    def test_requests_that_cross_the_registration_do_not_count(self):
        self.cold_requests(1, 100 + PROPAGATION_S / 2)
        self.assertEqual(0, self.judge("cold_rate").worst)
        self.cold_requests(1, 100 + 2 * PROPAGATION_S)
        self.assertEqual(1, self.judge("cold_rate").worst)

    def test_misdirected_requests_at_a_cold_server_do_not_count(self):
        self.cold_requests(COLD_REQUESTS + 1, 101, status=421)
        self.assertEqual(0, self.judge("cold_rate").worst)

    def test_rejected_requests_at_a_cold_server_count(self):
        self.cold_requests(COLD_REQUESTS + 1, 101, status=503)
        self.assertEqual(1, self.judge("cold_rate").cases)

    def retry(self, number, at, requests=0):
        for n in range(number):
            self.arrive(f"r{at}-{n}", at)
            self.arrive(f"r{at}-{n}", at, server="i-2")
        for n in range(requests - number):
            self.request(f"q{at}-{n}", at)

    def test_retries_over_ratio_and_extra(self):
        self.retry(20, 50, 50)
        self.assertEqual((0, 20, 20), (self.judge("retry_share").cases, *self.worst("retry_share")))
        self.retry(1, 59)
        self.assertGreater(self.judge("retry_share").cases, 0)

    def worst(self, rule):
        finding = self.judge(rule)
        return finding.worst, finding.bound

    def test_retries_of_another_window_are_not_summed(self):
        self.retry(20, 50, 50)
        self.retry(1, 60.01)
        self.assertEqual(0, self.judge("retry_share").cases)

    def test_requests_of_the_window_before_count(self):
        self.retry(20, 50)
        self.assertGreater(self.judge("retry_share").cases, 0)
        self.requests += [Request(f"b{n}", "s", 45, 2) for n in range(50)]
        self.assertEqual(0, self.judge("retry_share").cases)

    def test_more_servers_than_allowed(self):
        for n in range(4):
            self.assertEqual(0, self.judge("attempts").cases)
            for server in range(3):
                self.arrive(f"a{n}", 50, server=f"i-{server}", ran=True)
        self.assertEqual(4, self.judge("attempts").cases)

    def test_servers_that_did_not_run_a_request_are_not_attempts(self):
        for n in range(4):
            for server in range(3):
                self.arrive(f"a{n}", 50, server=f"i-{server}", ran=server > 0)
        self.assertEqual(0, self.judge("attempts").worst)

    def time_left(self, number, **more):
        for n in range(number):
            self.request(f"t{len(self.requests)}", 50, timeout_s=2)
            self.arrive(self.requests[-1].request_id, 50, **more)

    def test_no_time_left_named(self):
        self.time_left(20, time_left_s=None)
        self.assertEqual(0, self.judge("time_left").cases)
        self.time_left(1, time_left_s=None)
        self.assertEqual(21, self.judge("time_left").cases)

    def test_more_time_than_the_callers(self):
        self.time_left(21, time_left_s=2.5)
        self.assertEqual(0, self.judge("time_left").worst)
        self.time_left(21, time_left_s=2.6)
        self.assertEqual(21, self.judge("time_left").cases)

    def send_again(self, number, time_left_s, at=51.0, **more):
        for n in range(number):
            self.time_left(1)
            self.arrive(self.requests[-1].request_id, at, server="i-2", time_left_s=time_left_s, **more)

    def test_retry_that_ends_after_the_first_and_the_callers_own(self):
        self.send_again(21, 1.5)
        self.assertEqual(0, self.judge("time_left").worst)
        self.send_again(21, 1.6)
        self.assertEqual(21, self.judge("time_left").cases)

    def test_early_retry_names_the_time_that_the_first_did(self):
        self.send_again(21, 2.0, at=50.45)
        self.assertEqual(0, self.judge("time_left").worst)

    def test_up_to_a_fifth_of_late_retries_may_name_more_time(self):
        self.send_again(21, 2.0)
        self.send_again(84, 1.0)
        self.assertEqual((21, 21), self.worst("time_left"))
        self.assertEqual(0, self.judge("time_left").cases)
        self.send_again(1, 2.0)
        self.assertEqual(22, self.judge("time_left").cases)

    def test_hosts_out_of_touch_do_not_count_for_the_time_left(self):
        self.excused = ["h1"]
        self.time_left(21, time_left_s=None)
        self.assertEqual(0, self.judge("time_left").worst)

    def reject(self, retry_after_s=2.0, status=503, sender="h1"):
        self.arrive("rejected", 50, sender=sender, status=status, answered=50, retry_after_s=retry_after_s)

    def test_requests_of_one_host_while_a_server_wants_none(self):
        self.reject()
        for at in (50.6, 51.0):
            self.arrive(f"n{at}", at)
        self.arrive("other", 51, sender="h2")
        self.assertEqual((2, 2), self.worst("retry_after"))
        self.assertEqual(0, self.judge("retry_after").cases)
        self.arrive("n3", 51.9)
        self.assertEqual((1, 3), (self.judge("retry_after").cases, self.judge("retry_after").worst))

    def test_half_a_second_passes_before_a_host_must_hold_back(self):
        self.reject()
        for n in range(3):
            self.arrive(f"n{n}", 50.4)
            self.arrive(f"m{n}", 52.1)
        self.assertEqual(0, self.judge("retry_after").worst)

    def test_other_responses_name_no_time_to_hold_back(self):
        self.reject(status=429)
        self.reject(retry_after_s=None)
        for n in range(3):
            self.arrive(f"n{n}", 51)
        self.assertEqual(0, self.judge("retry_after").worst)

    def test_restarted_host_need_not_hold_back(self):
        self.reject()
        self.excused = ["h1"]
        for n in range(3):
            self.arrive(f"n{n}", 51)
        self.assertEqual(0, self.judge("retry_after").worst)

    def test_request_that_crashed_three_servers_comes_again(self):
        self.crashes = {"crash": [50, 51, 52]}
        for n, at in enumerate((54, 56, 57, 58, 59)):
            self.assertEqual(0, self.judge("crashing_requests").cases)
            self.request(f"x{n}", at, content="crash")
            self.arrive(f"x{n}", at)
        self.assertEqual((1, 4), (self.judge("crashing_requests").cases, self.judge("crashing_requests").worst))


if __name__ == "__main__":
    unittest.main()
