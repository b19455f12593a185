#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "app/commands.h"
#include "app/dev_cell.h"
#include "app/load.h"
#include "app/signals.h"

namespace monsoon {

namespace json = boost::json;

namespace {

constexpr double kSampleSeconds = 10;  // length of the load without --seconds
constexpr double kArrivalsPerSecond = 60;

// The drying profile with five times as many jobs, so that a short run has every kind of work.
LoadProfile MakeDevProfile()
{
  LoadProfile profile = *FindProfile("drying");
  profile.mName = "dev";
  for (WorkClass& it : profile.mClasses)
    if (it.mJob)
      it.mShare *= 5;
  return profile;
}

struct DevReport
{
  LoadReport mLoad{};
  DevCounts mCounts{};
  std::uint64_t mLost = 0;  // arrivals without an outcome, unfinished jobs included

  [[nodiscard]] bool HasPassed() const
  {
    return mLost == 0 && mCounts.mDuplicateRuns == 0 && mCounts.mOvercommits == 0 &&
           mLoad.mWrongAnswers == 0 && mLoad.mAnswered > 0;
  }
};

DevReport MakeReport(LoadReport aLoad, DevCounts aCounts)
{
  DevReport report{ std::move(aLoad), aCounts };
  const LoadReport& load = report.mLoad;
  const std::uint64_t accounted = load.mAnswered + load.mFailed + load.mCancelled + load.mNotRun +
                                  load.mUnknown + load.mWrongAnswers;
  report.mLost = load.mAsked - accounted;
  return report;
}

double ToMs(double aSeconds)
{
  return std::round(aSeconds * 1e5) / 100;
}

// Both the text and the JSON output are made from these rows, so that they agree.
json::object MakeReportJson(const DevReport& aReport)
{
  const LoadReport& load = aReport.mLoad;
  const DevCounts& counts = aReport.mCounts;
  json::object rows;
  rows["asked"] = load.mAsked;
  rows["run"] = load.mAnswered;
  rows["failed"] = load.mFailed;
  rows["not_run"] = load.mNotRun;
  rows["unknown"] = load.mUnknown;
  rows["doubled"] = counts.mDuplicateRuns;
  rows["lost"] = aReport.mLost;
  rows["wrong_answers"] = load.mWrongAnswers;
  rows["overcommitted"] = counts.mOvercommits;
  rows["waiting_p50_ms"] = ToMs(load.mWaiting.GetQuantile(0.5));
  rows["waiting_p99_ms"] = ToMs(load.mWaiting.GetQuantile(0.99));
  rows["waiting_p99_9_ms"] = ToMs(load.mWaiting.GetQuantile(0.999));
  rows["job_waiting_p50_ms"] = ToMs(load.mJobWaiting.GetQuantile(0.5));
  rows["job_waiting_p99_ms"] = ToMs(load.mJobWaiting.GetQuantile(0.99));
  rows["packing_slots_percent"] = std::round(counts.mSlotsBusy * 1000) / 10;
  rows["store_calls"] = counts.mStoreCalls;
  rows["cross_zone_bytes"] = counts.mCrossZoneBytes;
  return rows;
}

std::string FormatRows(const DevReport& aReport)
{
  std::ostringstream out;
  const auto append = [&](std::string_view aName, const json::value& aValue) {
    out << "  " << std::left << std::setw(24) << aName << std::right << std::setw(12);
    if (aValue.is_double())
      out << aValue.get_double() << '\n';
    else
      out << json::serialize(aValue) << '\n';
  };
  for (const auto& [name, value] : MakeReportJson(aReport))
    append(std::string_view(name.data(), name.size()), value);
  for (const auto& [name, count] : aReport.mLoad.mByClass)
    append("run: " + name, count);
  return std::move(out).str();
}

std::string FormatJson(const DevReport& aReport)
{
  json::object object = MakeReportJson(aReport);
  json::object classes;
  for (const auto& [name, count] : aReport.mLoad.mByClass)
    classes[name] = count;
  object["run_by_class"] = std::move(classes);
  object["sound"] = aReport.HasPassed();
  return json::serialize(object);
}

void PrintExampleCalls(std::ostream& aOut, const HttpAddress& aAddress)
{
  const std::string at = aAddress.mHost + ":" + std::to_string(aAddress.mPort);
  aOut << "\nThe cell stays up until Ctrl-C. Try:\n"
       << "  curl -d '{\"run_ms\":20}' http://" << at << "/v1/requests\n"
       << "  curl -d '{\"id\":\"cure-1\",\"tasks\":4}' http://" << at << "/v1/jobs\n"
       << "  curl http://" << at << "/v1/jobs/cure-1\n"
       << "  curl http://" << at << "/metrics\n"
       << "  monsoonstage ctl --at " << at << " 'show workers order by zone'\n"
       << "  monsoonstage ctl --at " << at << " 'explain job \"cure-1\"'\n"
       << "  monsoonstage load --at " << at << " --profile dairy --rate 50\n"
       << std::flush;
}

DevReport RunSampleLoad(const DevCell& aCell, double aSeconds, std::ostream& aOut)
{
  LoadOptions options;
  options.mProfile = MakeDevProfile();
  options.mRate = kArrivalsPerSecond;
  options.mLength = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
  aOut << "sending " << kArrivalsPerSecond << " requests and jobs per second for " << aSeconds
       << " s: requests, batch, gang, service and watch jobs\n"
       << std::flush;
  constexpr Duration kFinishTimeout = seconds(30);
  LoadReport load = RunLoad(options, aCell.ListAddresses(), kFinishTimeout, nullptr);
  return MakeReport(std::move(load), aCell.ReadCounts());
}

}  // namespace

int RunDev(Arguments aArguments)
{
  TCLAP::CmdLine line(
    "Runs a whole cell in this process: stand-ins of the platform and of twelve "
    "workers, three nodes in three zones. Sends it all kinds of work and reports the "
    "outcomes. Exit code 1 if anything was lost, doubled or overcommitted.",
    ' ',
    "0.1.0");
  TCLAP::ValueArg<double> length(
    "s", "seconds", "stop after N seconds; without it the cell stays up", false, 0, "N", line);
  TCLAP::SwitchArg asJson("", "json", "print the final table as JSON", line);
  line.parse(aArguments);
  if (length.isSet() && length.getValue() < 1) {
    std::cerr << "dev: --seconds must be at least 1\n";
    return kExitUsageError;
  }

  BlockStopSignals();
  std::ostream& messages = asJson.getValue() ? std::cerr : std::cout;
  DevCell cell;
  if (auto started = cell.Start(); !started) {
    std::cerr << "dev: " << GetName(started.error().mKind) << ": " << started.error().mDetail
              << '\n';
    return kExitFailure;
  }
  for (const std::string& it : cell.Describe())
    messages << it << '\n';

  const double sampleSeconds = length.isSet() ? length.getValue() * 0.8 : kSampleSeconds;
  const DevReport report = RunSampleLoad(cell, sampleSeconds, messages);
  std::cout << (asJson.getValue() ? FormatJson(report) + "\n" : "\n" + FormatRows(report))
            << std::flush;
  messages << (report.HasPassed()
                 ? "nothing lost, doubled or overcommitted\n"
                 : "FAILED: see lost, doubled, overcommitted, wrong_answers and run\n");
  if (!length.isSet()) {
    PrintExampleCalls(messages, cell.ListAddresses().front());
    WaitForStopSignal();
  }
  cell.Stop();
  return report.HasPassed() ? kExitSuccess : kExitFailure;
}

}  // namespace monsoon
