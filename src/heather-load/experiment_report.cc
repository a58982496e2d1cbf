#include "heather-load/experiment_report.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "heather-load/experiment.h"
#include "heather-load/experiment_table.h"

namespace heather_load {
namespace {

// Sizes in SVG user units.
constexpr double kPlotWidth = 720;
constexpr double kPlotHeight = 240;
constexpr double kMargin = 40;
constexpr double kBarWidth = 18;
constexpr double kBarGap = 70;

constexpr char kPageStart[] =
    "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>heather-load experiment</title><style>body{font-family:sans-serif;"
    "max-width:50em;margin:2em auto}svg{background:#f7f7f7}text{font-size:"
    "12px}</style></head><body>\n<h1>heather-load experiment</h1>\n";

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

std::string SvgStart(const std::string& title) {
  std::ostringstream svg;
  svg << "<h2>" << Escape(title) << "</h2>\n<svg role=\"img\" viewBox=\"0 0 "
      << kPlotWidth << " " << kPlotHeight << "\"><title>" << Escape(title)
      << "</title>\n";
  return svg.str();
}

double Height(double value, double most) {
  return most <= 0 ? 0 : value / most * (kPlotHeight - 2 * kMargin);
}

void AddText(std::ostringstream& svg,
             double x,
             double y,
             const std::string& text) {
  svg << "<text x=\"" << x << "\" y=\"" << y << "\">" << Escape(text)
      << "</text>\n";
}

// A bar with its confidence interval, if that is finite.
void AddBar(std::ostringstream& svg,
            double x,
            const ConfidenceInterval& value,
            double most,
            const std::string& color) {
  const double base = kPlotHeight - kMargin;
  const double height = Height(value.mean, most);
  svg << "<rect x=\"" << x << "\" y=\"" << base - height << "\" width=\""
      << kBarWidth << "\" height=\"" << height << "\" fill=\"" << color
      << "\"/>\n";
  if (std::isfinite(value.half_width)) {
    const double half = Height(value.half_width, most);
    const double middle = x + kBarWidth / 2;
    svg << "<line x1=\"" << middle << "\" x2=\"" << middle << "\" y1=\""
        << base - height - half << "\" y2=\""
        << std::min(base, base - height + half) << "\" stroke=\"black\"/>\n";
  }
}

double LatencyLimit(const std::vector<SettingResult>& results) {
  double most = 0;
  for (const SettingResult& result : results) {
    for (const RankFigures& row : result.ranks) {
      for (const auto* value : {&row.p50_ms, &row.p99_ms}) {
        const double half =
            std::isfinite(value->half_width) ? value->half_width : 0;
        most = std::max(most, value->mean + half);
      }
    }
  }
  return most;
}

std::string LatencyPlot(const std::vector<SettingResult>& results) {
  const double most = LatencyLimit(results);
  std::ostringstream svg;
  svg << SvgStart("Latency by rank, ms: p50 (light) and p99 (dark)");
  AddText(svg, 2, kMargin, std::to_string(std::lround(most)) + " ms");
  double x = kMargin * 2;
  for (const SettingResult& result : results) {
    AddText(svg, x, kMargin / 2, result.name);
    for (const RankFigures& row : result.ranks) {
      AddBar(svg, x, row.p50_ms, most, "#9ecae1");
      AddBar(svg, x + kBarWidth, row.p99_ms, most, "#3182bd");
      AddText(svg, x, kPlotHeight - kMargin / 2, row.rank);
      x += kBarGap;
    }
    x += kBarGap;
  }
  svg << "</svg>\n";
  return svg.str();
}

struct Series {
  const char* name;
  const char* color;
  std::size_t SecondCounts::*count;
};

constexpr Series kSeries[] = {{"served", "#31a354", &SecondCounts::served},
                              {"refused", "#e6550d", &SecondCounts::refused},
                              {"unknown", "#756bb1", &SecondCounts::unknown}};

void AddLine(std::ostringstream& svg,
             const SettingResult& result,
             const Series& series,
             double most) {
  const auto steps =
      static_cast<double>(std::max<std::size_t>(result.seconds.size(), 2) - 1);
  svg << "<polyline fill=\"none\" stroke=\"" << series.color << "\" points=\"";
  for (std::size_t i = 0; i < result.seconds.size(); ++i) {
    const double x =
        kMargin + static_cast<double>(i) / steps * (kPlotWidth - 2 * kMargin);
    const auto count = static_cast<double>(result.seconds[i].*series.count);
    svg << x << "," << kPlotHeight - kMargin - Height(count, most) << " ";
  }
  svg << "\"/>\n";
}

std::string OutcomePlot(const SettingResult& result) {
  std::size_t most = 0;
  for (const SecondCounts& counts : result.seconds) {
    most = std::max({most, counts.served, counts.refused, counts.unknown});
  }
  std::ostringstream svg;
  svg << SvgStart(result.name + ": requests a second of arrival, all runs");
  AddText(svg, 2, kMargin, std::to_string(most));
  AddText(svg, kPlotWidth - 2 * kMargin, kPlotHeight - kMargin / 2,
          std::to_string(result.seconds.size()) + " s");
  double x = kMargin;
  for (const Series& series : kSeries) {
    AddLine(svg, result, series, static_cast<double>(most));
    svg << "<rect x=\"" << x << "\" y=\"6\" width=\"10\" height=\"10\" fill=\""
        << series.color << "\"/>\n";
    AddText(svg, x + kBarWidth, kBarWidth - 2, series.name);
    x += kBarGap;
  }
  svg << "</svg>\n";
  return svg.str();
}

}  // namespace

std::string ExperimentPage(const std::vector<SettingResult>& results) {
  std::string page = kPageStart;
  page += "<pre>" + Escape(FormatExperiment(results)) + "</pre>\n";
  page += LatencyPlot(results);
  for (const SettingResult& result : results) {
    page += OutcomePlot(result);
  }
  return page + "</body></html>\n";
}

}  // namespace heather_load
