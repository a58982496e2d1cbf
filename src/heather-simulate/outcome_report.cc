#include "heather-simulate/outcome_report.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <nlohmann/json.hpp>

namespace heather_simulate {
namespace {

// Size of the plot in pixels, and its margin.
constexpr double kWidth = 720;
constexpr double kHeight = 300;
constexpr double kMargin = 40;
constexpr double kLegendStep = 110;
constexpr std::array kColors = {"#1b6ca8", "#c0392b", "#7f8c8d"};

double SecondsOf(heatherlever::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::string Row(const std::string& label, const OutcomeCounts& counts) {
  return fmt::format("{:<28} {:>8} {:>9} {:>7} {:>9} {:>7} {:>8.3f}\n", label,
                     counts.total(), counts.in_target, counts.late,
                     counts.rejected, counts.failed, counts.in_target_share());
}

nlohmann::json ToJson(const OutcomeCounts& counts) {
  return {{"asked", counts.total()},
          {"in_target", counts.in_target},
          {"late", counts.late},
          {"rejected", counts.rejected},
          {"failed", counts.failed}};
}

std::string Line(const LoadPattern& pattern,
                 const LoadOutcome& outcome,
                 const char* color) {
  const double step = (kWidth - 2 * kMargin) * SecondsOf(pattern.window) /
                      SecondsOf(pattern.duration);
  std::string points;
  for (const auto& [window, counts] : outcome.Windows()) {
    const double x = kMargin + step * (static_cast<double>(window) + 0.5);
    const double y =
        kHeight - kMargin - (kHeight - 2 * kMargin) * counts.in_target_share();
    points += fmt::format("{:.1f},{:.1f} ", x, y);
  }
  return fmt::format(
      "<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"2\" "
      "points=\"{}\"/>\n",
      color, points);
}

}  // namespace

std::string FormatTable(const LoadPattern& pattern,
                        const std::vector<NamedOutcome>& outcomes) {
  std::string text =
      fmt::format("{}, seed {}\n{:<28} {:>8} {:>9} {:>7} {:>9} {:>7} {:>8}\n",
                  pattern.name, pattern.seed, "", "asked", "in target", "late",
                  "rejected", "failed", "share");
  for (const NamedOutcome& each : outcomes) {
    for (const PatternKind& kind : pattern.kinds) {
      text +=
          Row(each.chooser + " " + kind.name, each.outcome.TotalOf(kind.name));
    }
    text += Row(each.chooser + " all", each.outcome.Total());
  }
  for (const NamedOutcome& each : outcomes) {
    for (const auto& [window, counts] : each.outcome.Windows()) {
      const double from =
          static_cast<double>(window) * SecondsOf(pattern.window);
      text += Row(fmt::format("{} from {:.0f} s", each.chooser, from), counts);
    }
  }
  return text;
}

std::string FormatJson(const LoadPattern& pattern,
                       const std::vector<NamedOutcome>& outcomes) {
  nlohmann::json root = {{"pattern", pattern.name}, {"seed", pattern.seed}};
  for (const NamedOutcome& each : outcomes) {
    nlohmann::json& entry = root["choosers"][each.chooser];
    for (const PatternKind& kind : pattern.kinds) {
      entry["kinds"][kind.name] = ToJson(each.outcome.TotalOf(kind.name));
    }
    for (const auto& [window, counts] : each.outcome.Windows()) {
      entry["windows"].push_back(ToJson(counts));
    }
  }
  return root.dump(2) + "\n";
}

std::string FormatPlot(const LoadPattern& pattern,
                       const std::vector<NamedOutcome>& outcomes) {
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" "
      "font-family=\"sans-serif\" font-size=\"12\">\n"
      "<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n"
      "<text x=\"{2}\" y=\"20\">{3}: share within the target over {4:.0f} s"
      "</text>\n",
      kWidth, kHeight, kMargin, pattern.name, SecondsOf(pattern.duration));
  for (const double share : {0.0, 0.5, 1.0}) {
    const double y = kHeight - kMargin - (kHeight - 2 * kMargin) * share;
    svg += fmt::format(
        "<line x1=\"{0}\" x2=\"{1}\" y1=\"{2}\" y2=\"{2}\" stroke=\"#ddd\"/>\n"
        "<text x=\"8\" y=\"{2}\">{3:.1f}</text>\n",
        kMargin, kWidth - kMargin, y, share);
  }
  for (std::size_t i = 0; i < outcomes.size(); ++i) {
    const char* color = kColors[i % kColors.size()];
    svg += Line(pattern, outcomes[i].outcome, color);
    svg += fmt::format("<text x=\"{}\" y=\"{}\" fill=\"{}\">{}</text>\n",
                       kMargin + kLegendStep * static_cast<double>(i),
                       kHeight - 12, color, outcomes[i].chooser);
  }
  return svg + "</svg>\n";
}

}  // namespace heather_simulate
