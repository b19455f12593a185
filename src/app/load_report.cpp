#include <boost/json.hpp>

#include <cmath>
#include <iomanip>
#include <sstream>

#include "app/load.h"

namespace monsoon {

namespace json = boost::json;

namespace {

constexpr double kQuantiles[] = { 0.5, 0.99, 0.999 };
constexpr const char* kQuantileNames[] = { "p50", "p99", "p99_9" };

json::object MakeJson(const HistogramSnapshot& aView)
{
  json::object object;
  object["count"] = aView.mCount;
  for (std::size_t i = 0; i < std::size(kQuantiles); ++i)
    object[std::string(kQuantileNames[i]) + "_ms"] = aView.GetQuantile(kQuantiles[i]) * 1000;
  object["max_ms"] = aView.mMax * 1000;
  return object;
}

void AppendWaiting(std::ostream& aOut, const char* aName, const HistogramSnapshot& aView)
{
  aOut << std::left << std::setw(16) << aName << std::right << std::fixed << std::setprecision(2);
  for (const double it : kQuantiles)
    aOut << std::setw(12) << aView.GetQuantile(it) * 1000;
  aOut << std::setw(12) << aView.mMax * 1000 << std::setw(10) << aView.mCount << '\n';
}

// Plot
constexpr double kWidth = 720;
constexpr double kHeight = 420;
constexpr double kMargin = 60;
constexpr int kFirstDecade = -4;  // 0.1 ms
constexpr int kLastDecade = 2;    // 100 s
constexpr int kShareDecades = 4;  // down to 1 in 10,000

double GetX(double aSeconds)
{
  const double decades = std::log10(std::max(aSeconds, 1e-4)) - kFirstDecade;
  return kMargin + decades / (kLastDecade - kFirstDecade) * (kWidth - 2 * kMargin);
}

double GetY(double aShare)
{
  const double decades = -std::log10(std::max(aShare, 1e-4));
  return kMargin + decades / kShareDecades * (kHeight - 2 * kMargin);
}

void AppendAxes(std::ostream& aOut)
{
  static constexpr const char* kTimes[] = { "0.1 ms", "1 ms", "10 ms", "0.1 s",
                                            "1 s",    "10 s", "100 s" };
  static constexpr const char* kShares[] = { "all", "1/10", "1/100", "1/1000", "1/10000" };
  for (int i = 0; i <= kLastDecade - kFirstDecade; ++i) {
    const double x = GetX(std::pow(10.0, i + kFirstDecade));
    aOut << "<line x1=\"" << x << "\" y1=\"" << kMargin << "\" x2=\"" << x << "\" y2=\""
         << kHeight - kMargin << "\" stroke=\"#ddd\"/>\n<text x=\"" << x << "\" y=\""
         << kHeight - kMargin + 18 << "\" text-anchor=\"middle\">" << kTimes[i] << "</text>\n";
  }
  for (int i = 0; i <= kShareDecades; ++i) {
    const double y = GetY(std::pow(10.0, -i));
    aOut << "<line x1=\"" << kMargin << "\" y1=\"" << y << "\" x2=\"" << kWidth - kMargin
         << "\" y2=\"" << y << "\" stroke=\"#ddd\"/>\n<text x=\"" << kMargin - 6 << "\" y=\""
         << y + 4 << "\" text-anchor=\"end\">" << kShares[i] << "</text>\n";
  }
}

void AppendCurve(std::ostream& aOut, const HistogramSnapshot& aView, const char* aColour)
{
  if (aView.mCount == 0)
    return;
  aOut << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << aColour << "\" points=\"";
  std::uint64_t below = 0;
  for (const HistogramBin& it : aView.mBins) {
    if (it.mCount > 0)
      aOut << GetX(it.mLower) << ','
           << GetY(1.0 - static_cast<double>(below) / static_cast<double>(aView.mCount)) << ' ';
    below += it.mCount;
  }
  aOut << GetX(aView.mMax) << ',' << GetY(0) << "\"/>\n";
}

}  // namespace

std::string FormatText(const LoadReport& aReport)
{
  std::ostringstream out;
  out << "profile " << aReport.mProfile << ", seed " << aReport.mSeed << ", " << std::fixed
      << std::setprecision(1) << aReport.mSeconds << " s\n\n"
      << "asked " << aReport.mAsked << "  answered " << aReport.mAnswered << "  not_run "
      << aReport.mNotRun << "  unknown " << aReport.mUnknown << "  failed " << aReport.mFailed
      << "  cancelled " << aReport.mCancelled << "  unfinished " << aReport.mUnfinished
      << "  wrong answers " << aReport.mWrongAnswers << "\n\n";
  for (const auto& [name, count] : aReport.mByClass)
    out << std::left << std::setw(16) << name << std::right << std::setw(10) << count << '\n';
  out << "\nwaiting, ms              p50         p99       p99.9         max     count\n";
  AppendWaiting(out, "requests", aReport.mWaiting);
  AppendWaiting(out, "urgent requests", aReport.mUrgentWaiting);
  AppendWaiting(out, "jobs", aReport.mJobWaiting);
  return std::move(out).str();
}

std::string FormatJson(const LoadReport& aReport)
{
  json::object object;
  object["profile"] = aReport.mProfile;
  object["seed"] = aReport.mSeed;
  object["seconds"] = aReport.mSeconds;
  object["asked"] = aReport.mAsked;
  object["answered"] = aReport.mAnswered;
  object["not_run"] = aReport.mNotRun;
  object["unknown"] = aReport.mUnknown;
  object["failed"] = aReport.mFailed;
  object["cancelled"] = aReport.mCancelled;
  object["unfinished"] = aReport.mUnfinished;
  object["wrong_answers"] = aReport.mWrongAnswers;
  json::object classes;
  for (const auto& [name, count] : aReport.mByClass)
    classes[name] = count;
  object["answered_by_class"] = std::move(classes);
  object["waiting"] = MakeJson(aReport.mWaiting);
  object["urgent_waiting"] = MakeJson(aReport.mUrgentWaiting);
  object["job_waiting"] = MakeJson(aReport.mJobWaiting);
  return json::serialize(object);
}

std::string FormatSvg(const LoadReport& aReport)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
      << kWidth << "\" height=\"" << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
         "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"60\" y=\"30\">Share of "
         "work that waited longer: requests blue, urgent red, jobs grey ("
      << aReport.mProfile << ", seed " << aReport.mSeed << ")</text>\n";
  AppendAxes(out);
  AppendCurve(out, aReport.mJobWaiting, "#888");
  AppendCurve(out, aReport.mWaiting, "#1f5fbf");
  AppendCurve(out, aReport.mUrgentWaiting, "#c0392b");
  out << "</svg>\n";
  return std::move(out).str();
}

}  // namespace monsoon
