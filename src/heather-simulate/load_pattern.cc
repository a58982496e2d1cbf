#include "heather-simulate/load_pattern.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "heatherlever/nearest_word.h"
#include "libheatherlever/yaml_map.h"

namespace heather_simulate {
namespace {

using heatherlever::YamlMap;

constexpr std::int64_t kMaxCount = 10000;
constexpr std::int64_t kMaxRate = 1000000;

struct EventName {
  EventKind kind;
  const char* name;
};

constexpr std::array kEventNames = {
    EventName{EventKind::kBurst, "burst"},
    EventName{EventKind::kDomainLoss, "domain-loss"},
    EventName{EventKind::kHostRestart, "host-restart"},
    EventName{EventKind::kScaleOut, "scale-out"},
};

int Count(YamlMap& map, const std::string& key, std::int64_t fallback) {
  return static_cast<int>(map.NumberOr(key, 0, kMaxCount, fallback));
}

EventKind ReadEventKind(YamlMap& map) {
  const std::string text = map.Text("kind");
  std::vector<std::string> known;
  for (const EventName& entry : kEventNames) {
    if (text == entry.name) {
      return entry.kind;
    }
    known.emplace_back(entry.name);
  }
  map.Fail("kind", "no event is named '" + text + "'" +
                       heatherlever::NearestWordHint(text, known));
}

std::vector<PatternRegion> ReadRegions(YamlMap& top) {
  std::vector<PatternRegion> regions;
  std::set<std::string> names;
  for (YamlMap& map : top.Maps("regions", "region")) {
    PatternRegion region;
    region.name = map.UniqueText("name", names);
    region.domains = map.Texts("domains");
    region.hosts_per_domain =
        static_cast<int>(map.Number("hosts", 1, kMaxCount));
    map.Finish();
    regions.push_back(std::move(region));
  }
  return regions;
}

PatternService ReadService(YamlMap& map, std::set<std::string>& names) {
  PatternService service;
  service.name = map.UniqueText("name", names);
  service.slots = static_cast<int>(map.Number("slots", 1, kMaxCount));
  service.max_queued = Count(map, "queue", 0);
  service.warm_objects = Count(map, "warm_objects", 0);
  service.warm_work_factor = map.ShareOr("warm_work", 1);
  service.cold_start = map.TimeOr("cold_start", service.cold_start);
  service.cold_rate_per_s = Count(map, "cold_rate_per_s", 1);
  for (YamlMap& group : map.Maps("servers", "servers")) {
    const std::string domain = group.Text("domain");
    service.servers[domain] =
        static_cast<int>(group.Number("count", 1, kMaxCount));
    group.Finish();
  }
  map.Finish();
  return service;
}

PatternKind ReadKind(YamlMap& map, std::set<std::string>& names) {
  PatternKind kind;
  kind.name = map.UniqueText("name", names);
  kind.service = map.Text("service");
  kind.rank = Count(map, "rank", 0);
  kind.idempotent = map.FlagOr("idempotent", false);
  kind.work = map.Time("work");
  kind.target = map.Time("target");
  kind.deadline = map.Time("deadline");
  kind.objects = static_cast<int>(map.Number("objects", 1, kMaxCount));
  kind.retries = Count(map, "retries", 0);
  kind.max_attempts = static_cast<int>(map.NumberOr("max_attempts", 1, 9, 2));
  for (YamlMap& rate : map.Maps("rates", "rate")) {
    const std::string region = rate.Text("region");
    kind.rates[region] = static_cast<double>(rate.Number("per_s", 0, kMaxRate));
    rate.Finish();
  }
  map.Finish();
  return kind;
}

PatternEvent ReadEvent(YamlMap& map) {
  PatternEvent event;
  event.kind = ReadEventKind(map);
  event.at = map.Time("at");
  event.duration = map.TimeOr("lasts", event.duration);
  event.subject = map.TextOr("of", "");
  event.percent = Count(map, "percent", 100);
  event.count = Count(map, "count", 1);
  map.Finish();
  return event;
}

template <typename Entry>
void RequireDeclared(YamlMap& top,
                     const std::string& key,
                     const std::vector<Entry>& entries,
                     const std::string& name) {
  const bool known =
      std::any_of(entries.begin(), entries.end(),
                  [&](const Entry& entry) { return entry.name == name; });
  if (!known) {
    top.Fail(key, "'" + name + "' is not declared");
  }
}

void CheckNames(YamlMap& top, const LoadPattern& pattern) {
  for (const PatternKind& kind : pattern.kinds) {
    RequireDeclared(top, "kinds", pattern.services, kind.service);
    for (const auto& [region, rate] : kind.rates) {
      RequireDeclared(top, "kinds", pattern.regions, region);
    }
  }
  for (const PatternEvent& event : pattern.events) {
    if (event.kind == EventKind::kBurst) {
      RequireDeclared(top, "events", pattern.kinds, event.subject);
    }
    if (event.kind == EventKind::kScaleOut) {
      RequireDeclared(top, "events", pattern.services, event.subject);
    }
  }
}

}  // namespace

LoadPattern ReadPattern(const std::string& path) {
  YamlMap top = YamlMap::ParseFile(path);
  LoadPattern pattern;
  pattern.name = top.Text("name");
  pattern.seed =
      static_cast<std::uint64_t>(top.NumberOr("seed", 0, kMaxRate, 1));
  pattern.duration = top.Time("duration");
  pattern.window = top.Time("window");
  pattern.domain_delay = top.Time("domain_delay");
  pattern.region_delay = top.Time("region_delay");
  pattern.inter_region_delay = top.Time("between_delay");
  pattern.propagation_delay = top.Time("news_delay");
  pattern.retry_ratio = top.Share("retry_ratio");
  pattern.retry_extra = Count(top, "retry_extra", 0);
  pattern.throttling = top.FlagOr("throttling", pattern.throttling);
  pattern.regions = ReadRegions(top);
  std::set<std::string> names;
  for (YamlMap& map : top.Maps("services", "service")) {
    pattern.services.push_back(ReadService(map, names));
  }
  names.clear();
  for (YamlMap& map : top.Maps("kinds", "kind of work")) {
    pattern.kinds.push_back(ReadKind(map, names));
  }
  for (YamlMap& map : top.Maps("events", "event")) {
    pattern.events.push_back(ReadEvent(map));
  }
  CheckNames(top, pattern);
  top.Finish();
  return pattern;
}

}  // namespace heather_simulate
