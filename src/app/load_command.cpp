#include <tclap/CmdLine.h>
#include <unistd.h>

#include <fstream>
#include <iostream>

#include "app/commands.h"
#include "app/load.h"

namespace monsoon {

Result<std::vector<HttpAddress>> ParseAddresses(const std::string& aText)
{
  std::vector<HttpAddress> addresses;
  std::istringstream in(aText);
  for (std::string it; std::getline(in, it, ',');) {
    auto address = ParseAddress(it);
    if (!address)
      return address.error();
    addresses.push_back(*address);
  }
  if (addresses.empty())
    return MakeFailure(FailureKind::BadInput, "expected HOST:PORT[,HOST:PORT…]");
  return addresses;
}

namespace {

void PrintProgress(const LoadProgress& aProgress)
{
  std::cerr << "\rasked " << aProgress.mAsked << ", done " << aProgress.mDone << "   "
            << std::flush;
}

// Returns the mean run time of a profile's requests; it converts a share of slots into a rate.
double GetMeanRun(const LoadProfile& aProfile)
{
  double share = 0;
  double sum = 0;
  for (const WorkClass& it : aProfile.mClasses) {
    if (it.mJob)
      continue;
    share += it.mShare;
    sum += it.mShare * std::chrono::duration<double>(it.mRun).count();
  }
  return sum / share;
}

}  // namespace

int RunLoadCommand(Arguments aArguments)
{
  TCLAP::CmdLine line(
    "Sends work to a cell, open loop: arrivals don't wait for earlier answers, and "
    "waiting time is measured from the planned arrival. Exit code 1 if an answer was "
    "wrong or nothing was answered.",
    ' ',
    "0.1.0");
  using Text = TCLAP::ValueArg<std::string>;
  using Number = TCLAP::ValueArg<double>;
  Text at("", "at", "HTTP addresses of the cell's processes", true, "", "HOST:PORT[,…]", line);
  Text profile("", "profile", "drying or dairy", false, "drying", "NAME", line);
  Number rate("", "rate", "arrivals per second", false, 100, "N", line);
  Number share("", "share", "rate as a share of --slots, 0 to 1", false, 0, "X", line);
  Number slots("", "slots", "request slots of the fleet, for --share", false, 0, "N", line);
  Number length("", "seconds", "length of the run", false, 10, "N", line);
  Number peak("",
              "peak",
              "rate in the middle fifth of the run, as a multiple of the rate",
              false,
              1,
              "X",
              line);
  Number cancel("", "cancel", "share of jobs cancelled by each wave", false, 0, "X", line);
  Number every("", "cancel-every", "seconds between waves", false, 5, "N", line);
  Number wrong(
    "", "wrong-sizes", "declared sizes are wrong by up to this factor", false, 1, "X", line);
  Number patience("", "patience", "seconds to wait for jobs at the end", false, 60, "N", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the plan", false, 1, "N", line);
  Text plot("", "plot", "writes the waiting times as SVG", false, "", "FILE", line);
  TCLAP::SwitchArg asJson("", "json", "print the report as JSON", line);
  line.parse(aArguments);

  auto targets = ParseAddresses(at.getValue());
  auto found = FindProfile(profile.getValue());
  const bool valid = rate.getValue() > 0 && length.getValue() > 0 && peak.getValue() > 0 &&
                     wrong.getValue() >= 1 && every.getValue() > 0 && share.getValue() >= 0;
  if (!targets || !found || !valid) {
    std::cerr << "load: "
              << (!targets ? targets.error().mDetail
                  : !found ? found.error().mDetail
                           : "rate, seconds, peak, cancel-every must be > 0, wrong-sizes >= 1")
              << '\n';
    return kExitUsageError;
  }
  const auto toDuration = [](double aSeconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
  };
  LoadOptions options;
  options.mProfile = std::move(*found);
  options.mRate = rate.getValue();
  if (share.getValue() > 0 && slots.getValue() > 0)
    options.mRate = share.getValue() * slots.getValue() / GetMeanRun(options.mProfile);
  options.mLength = toDuration(length.getValue());
  options.mPeakFactor = peak.getValue();
  options.mCancelShare = cancel.getValue();
  options.mCancelInterval = toDuration(every.getValue());
  options.mSizeErrorFactor = wrong.getValue();
  options.mSeed = seed.getValue();

  const bool terminal = isatty(STDERR_FILENO) == 1;
  const LoadReport report =
    RunLoad(options,
            std::move(*targets),
            toDuration(patience.getValue()),
            terminal ? std::function<void(const LoadProgress&)>(PrintProgress) : nullptr);
  if (terminal)
    std::cerr << '\n';
  std::cout << (asJson.getValue() ? FormatJson(report) + "\n" : FormatText(report));
  if (!plot.getValue().empty()) {
    std::ofstream out(plot.getValue());
    out << FormatSvg(report);
    if (!out.flush()) {
      std::cerr << "load: cannot write " << plot.getValue() << '\n';
      return kExitFailure;
    }
  }
  return report.mWrongAnswers == 0 && report.mAnswered > 0 ? kExitSuccess : kExitFailure;
}

}  // namespace monsoon
