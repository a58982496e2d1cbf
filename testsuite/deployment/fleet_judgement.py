"""Judges the sums over all hosts of a deployment that ran."""

import collections

import rig
from fleet_rules import Bounds, FleetRules, Request


def site_bounds(site):
    """Bounds of the settings of each host, with the figures of the site."""
    bounds = site["bounds"]
    return {**rig.BOUNDS, "budgetExtra": int(bounds["budget_slack"]), "coldSlack": int(bounds["cold_slack"])}


def seconds(text):
    return float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])


class FleetJudgement:
    def __init__(self, deployment):
        self.deployment = deployment
        self.hosts = {host.name: host for host in deployment.hosts}

    def findings(self):
        deployment = self.deployment
        services = {kind["name"]: kind["service"] for kind in deployment.site["classes"]}
        timeouts = {kind["name"]: kind["deadline_ms"] / 1000 for kind in deployment.site["classes"]}
        attempts = [attempt for attempt in deployment.caller.attempts if attempt.sent is not None]
        requests = [Request(attempt.request_id, services[attempt.kind], attempt.begin, timeouts[attempt.kind],
                            content=attempt.path)
                    for attempt in attempts]
        arrivals = self.arrivals({attempt.request_id: attempt.host.name for attempt in attempts})
        periods = [period for server in deployment.backends for period in server.cold_periods]
        bounds = site_bounds(deployment.site)
        rules = FleetRules(
            Bounds({service["name"]: service["cold_per_s"] for service in deployment.site["services"]},
                   bounds["coldFactor"], bounds["coldSlack"], bounds["budgetRatio"], bounds["budgetExtra"],
                   seconds(bounds["budgetWindow"]), seconds(bounds["contact"])),
            requests, arrivals, periods, self.is_excused, self.is_down, self.crashes())
        return rules.findings()

    def arrivals(self, hosts):
        """Names the sender of each arrival: who had opened the connection, else the host that the caller sent it to."""
        arrivals = [arrival for server in self.deployment.backends for arrival in server.arrivals
                    if arrival.request_id in hosts]
        unknown = detours = 0
        for arrival in arrivals:
            owner = self.deployment.owners.name_of(arrival.sender)
            unknown += owner is None
            detours += owner not in (None, hosts[arrival.request_id])
            arrival.sender = owner or hosts[arrival.request_id]
        self.text = (f"{len(hosts)} requests, {len(arrivals)} arrivals, {unknown} of unknown sockets, {detours} from "
                     f"another host than the caller's, longest stall of the servers {self.deployment.ticks.longest:.3f} s")
        return arrivals

    def crashes(self):
        crashes = collections.defaultdict(list)
        for server in self.deployment.backends:
            for path, time in server.crashes:
                crashes[path].append(time)
        return crashes

    def is_excused(self, name, begin, end):
        faults = self.deployment.faults
        return any(host.name == name and first <= end and begin <= last
                   for host, first, last in faults.harmed + faults.stopped)

    def is_down(self, name, begin, end):
        return any(first <= end and begin <= last
                   for server in self.deployment.backends if server.name == name for first, last in server.down)
