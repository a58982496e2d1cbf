"""Rules on sums over all entry hosts, judged from what callers sent and what backend servers saw on their sockets."""

import bisect
import collections
import dataclasses

COLD_WINDOW_S = 1
# Time between a server's acknowledged registration and the arrival of the last request that a host sent without knowing
# it: the store's response, the link that it takes, and the link of the request (SYSTEM.md: 4 ms, 12 ms between regions).
PROPAGATION_S = 0.004 + 2 * 0.012
MAX_REQUESTS_OVER_ATTEMPTS = 3
TIME_LEFT_SLACK_S = 0.5
MAX_TIME_LEFT_WRONG = 20
TIME_LEFT_WRONG_SHARE = 0.2
RETRY_AFTER_SLACK_S = 0.5
MAX_REQUESTS_IN_RETRY_AFTER = 2
CRASHES_UNTIL_KNOWN = 3
MAX_RETRIES_OF_CRASHING = 3
# Windows of the retry rule also begin on this grid, as their bound changes between retries.
GRID_S = 0.1


@dataclasses.dataclass
class Request:
    """One attempt of a caller. `content` names what it asks for, and is equal for a request that comes again."""
    request_id: str
    service: str
    sent: float
    timeout_s: float
    max_attempts: int = 2
    content: str = ""


@dataclasses.dataclass
class Arrival:
    """A request at a backend server. It was sent at `sent` or later, and had arrived at `arrived`."""
    request_id: str
    server: str
    service: str
    sender: str
    sent: float
    arrived: float
    time_left_s: float | None = None
    ran: bool = False
    # Of the response; no status if there was none.
    status: int = 0
    answered: float = 0
    retry_after_s: float | None = None


@dataclasses.dataclass
class ColdPeriod:
    """`told` is when the store acknowledged that the server is cold."""
    server: str
    service: str
    told: float
    end: float


@dataclasses.dataclass
class Bounds:
    cold_per_s: dict
    cold_factor: float
    cold_slack: float
    budget_ratio: float
    budget_extra: float
    budget_window_s: float
    contact_s: float

    def cold_requests(self, service):
        return self.cold_per_s[service] * self.cold_factor + self.cold_slack


@dataclasses.dataclass
class Finding:
    """The worst figure that a rule had, and how much of its bound that is. `cases` counts those beyond the bound."""
    rule: str
    worst: float
    bound: float
    cases: int
    text: str

    @property
    def share(self):
        return self.worst / self.bound

    def __str__(self):
        state = f"BROKEN, {self.cases} cases" if self.cases else "held"
        return f"{self.rule}: {state}, worst {self.worst:.4g} of {self.bound:.4g} ({self.share:.2f}); {self.text}"


class FleetRules:
    """`is_excused(host, begin, end)` tells whether the host was restarted, paused or cut off in that time, and
    `is_down(server, begin, end)` whether the server ended or was cut off."""

    def __init__(self, bounds, requests, arrivals, cold_periods, is_excused=None, is_down=None, crashes=None):
        self.bounds, self.cold_periods = bounds, cold_periods
        self.requests = {request.request_id: request for request in requests}
        # Status checks have no id, those that a server was not meant to get do not count.
        self.arrivals = sorted((arrival for arrival in arrivals if arrival.request_id in self.requests),
                               key=lambda arrival: arrival.arrived)
        self.is_excused = is_excused or (lambda host, begin, end: False)
        self.is_down = is_down or (lambda server, begin, end: False)
        # Times at which a server crashed under a request, by content.
        self.crashes = crashes or {}
        self.by_request = collections.defaultdict(list)
        for arrival in self.arrivals:
            self.by_request[arrival.request_id].append(arrival)

    def findings(self):
        return [self.cold_rate(), self.retry_share(), self.attempts(), self.time_left(), self.retry_after(),
                self.crashing_requests()]

    def cold_rate(self):
        by_server = collections.defaultdict(list)
        for arrival in self.arrivals:
            if arrival.status != 421:
                by_server[arrival.server].append(arrival)
        worst = Finding("FAILBACK cold-rate", 0, 1, 0, "no cold server got a request")
        counts = []
        for period in self.cold_periods:
            bound = self.bounds.cold_requests(period.service)
            begin, window = self.worst_cold_window(by_server[period.server], period)
            counts.append(len(window))
            worst.cases += len(window) > bound
            if window and len(window) / bound > worst.share:
                senders = collections.Counter(arrival.sender for arrival in window)
                worst.worst, worst.bound = len(window), bound
                worst.text = (f"{period.server} of {period.service} from {begin - period.told:.2f} s after it was told, "
                              f"{len(senders)} hosts, at most {max(senders.values())} from one, in its tenths "
                              f"{self.tenths(begin, window)}")
        worst.text += f"; {len(counts)} cold periods, worst second of each {sorted(counts, reverse=True)}"
        return worst

    @staticmethod
    def tenths(begin, arrivals):
        counts = [0] * 10
        for arrival in arrivals:
            counts[int((arrival.arrived - begin) / COLD_WINDOW_S * 10)] += 1
        return counts

    @staticmethod
    def worst_cold_window(arrivals, period):
        """Returns the begin of the second with most requests that were sent and arrived inside it, and these."""
        first = period.told + PROPAGATION_S
        inside = [arrival for arrival in arrivals if first <= arrival.sent and arrival.arrived <= period.end]
        best = (first, [])
        for begin in [arrival.sent for arrival in inside]:
            window = [arrival for arrival in inside if begin <= arrival.sent and arrival.arrived < begin + COLD_WINDOW_S]
            if len(window) > len(best[1]):
                best = (begin, window)
        return best

    def retry_share(self):
        window_s = self.bounds.budget_window_s
        retries, sent = collections.defaultdict(list), collections.defaultdict(list)
        for arrivals in self.by_request.values():
            for arrival in arrivals[1:]:
                retries[arrival.service].append(arrival.arrived)
        for request in self.requests.values():
            sent[request.service].append(request.sent)
        worst = Finding("BUDGET retry-share", 0, self.bounds.budget_extra, 0, "no retries")
        for service, times in retries.items():
            times.sort()
            sent[service].sort()
            grid = [times[0] - window_s + GRID_S * n for n in range(int((times[-1] - times[0] + window_s) / GRID_S) + 1)]
            for begin in times + [time - window_s for time in times] + grid:
                count = self.count(times, begin, window_s)
                requests = max(self.count(sent[service], begin - shift, window_s) for shift in (0, window_s, window_s / 2))
                bound = self.bounds.budget_ratio * requests + self.bounds.budget_extra
                worst.cases += count > bound
                if count / bound > worst.share:
                    worst.worst, worst.bound = count, bound
                    worst.text = f"{service}, {requests} requests"
        return worst

    @staticmethod
    def count(times, begin, window_s):
        return bisect.bisect_right(times, begin + window_s) - bisect.bisect_left(times, begin)

    def attempts(self):
        over = []
        for request_id, arrivals in self.by_request.items():
            end = arrivals[-1].arrived
            servers = {arrival.server for arrival in arrivals
                       if arrival.ran and not self.is_down(arrival.server, arrival.arrived, end)}
            if len(servers) > self.requests[request_id].max_attempts:
                over.append(request_id)
        return Finding("BUDGET attempts", len(over), MAX_REQUESTS_OVER_ATTEMPTS,
                       len(over) if len(over) > MAX_REQUESTS_OVER_ATTEMPTS else 0,
                       "requests that ran on more servers than maxAttempts")

    def time_left(self):
        none, longer, later, late_retries = set(), set(), set(), set()
        for request_id, arrivals in self.by_request.items():
            request, first = self.requests[request_id], arrivals[0]
            own_end = request.sent + request.timeout_s
            for arrival in arrivals:
                if self.is_excused(arrival.sender, arrival.arrived - self.bounds.contact_s, arrival.arrived):
                    continue
                is_late = arrival is not first and arrival.sent - first.arrived > TIME_LEFT_SLACK_S
                if is_late:
                    late_retries.add(request_id)
                if arrival.time_left_s is None:
                    none.add(request_id)
                    continue
                if arrival.time_left_s > request.timeout_s + TIME_LEFT_SLACK_S:
                    longer.add(request_id)
                # A first one that named no time had the caller's.
                ends = [own_end] if first.time_left_s is None else [own_end, first.arrived + first.time_left_s]
                if is_late and arrival.sent + arrival.time_left_s > max(ends) + TIME_LEFT_SLACK_S:
                    later.add(request_id)
        wrong = none | longer | later
        bound = max(MAX_TIME_LEFT_WRONG, TIME_LEFT_WRONG_SHARE * len(wrong | late_retries))
        return Finding("BUDGET time-left", len(wrong), bound, len(wrong) if len(wrong) > bound else 0,
                       f"{len(none)} with none, {len(longer)} with more than the caller's, {len(later)} sent again with "
                       f"more than was left, {len(late_retries)} sent again over {TIME_LEFT_SLACK_S} s later")

    def retry_after(self):
        by_pair = collections.defaultdict(list)
        for arrival in self.arrivals:
            by_pair[arrival.sender, arrival.server].append(arrival)
        worst = Finding("BUDGET retry-after", 0, MAX_REQUESTS_IN_RETRY_AFTER, 0, "none")
        inside, pairs = set(), 0
        for (sender, server), arrivals in by_pair.items():
            most = 0
            for answer in arrivals:
                if answer.status != 503 or answer.retry_after_s is None:
                    continue
                begin, end = answer.answered + RETRY_AFTER_SLACK_S, answer.answered + answer.retry_after_s
                if self.is_excused(sender, answer.answered, end):
                    continue
                got = [arrival for arrival in arrivals if begin <= arrival.sent and arrival.arrived <= end]
                inside.update(id(arrival) for arrival in got)
                most = max(most, len(got))
            pairs += most > MAX_REQUESTS_IN_RETRY_AFTER
            if most > worst.worst:
                worst.worst, worst.text = most, f"{server} from {sender}"
        worst.cases = pairs
        worst.text += f"; {len(inside)} requests inside such a time, {pairs} pairs of host and server with too many"
        return worst

    def crashing_requests(self):
        worst = Finding("BUDGET crashing-request", 0, MAX_RETRIES_OF_CRASHING, 0, "no request crashed three servers")
        for content, times in self.crashes.items():
            if len(times) < CRASHES_UNTIL_KNOWN:
                continue
            known = sorted(times)[CRASHES_UNTIL_KNOWN - 1] + self.bounds.contact_s
            retries = [arrival for arrival in self.arrivals
                       if self.requests[arrival.request_id].content == content and arrival.sent > known
                       and not self.is_excused(arrival.sender, arrival.arrived - self.bounds.contact_s, arrival.arrived)]
            worst.cases += len(retries) > MAX_RETRIES_OF_CRASHING
            if len(retries) > worst.worst or not worst.worst:
                worst.worst, worst.text = len(retries), f"{content} after {len(times)} crashes"
        return worst
