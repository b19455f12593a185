// Footprint of real processes at several sizes: memory, processor time, bytes and store calls, at
// rest and under requests. The slopes go into docs/CAPACITY.md.
//
//   bench_cell [--json] [--seconds N]
#include <boost/json.hpp>

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <unistd.h>

#include "tests/integration/load.h"

using namespace monsoon;
using namespace monsoon::testing;

namespace {

struct CellSize
{
  std::uint32_t mProcesses = 0;
  std::uint32_t mZones = 0;
  std::uint32_t mWorkers = 0;
};

constexpr CellSize kSizes[] = { { 3, 3, 12 }, { 6, 3, 24 }, { 9, 3, 50 } };

struct Usage  // of one process
{
  double mCpuSeconds = 0;
  double mResidentMiB = 0;
};

Usage ReadUsage(pid_t aPid)
{
  Usage usage;
  std::ifstream stat("/proc/" + std::to_string(aPid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  double ticks = 0;
  for (int i = 3; i <= 15 && fields >> field; ++i)
    if (i >= 14)
      ticks += std::stod(field);  // utime and stime
  usage.mCpuSeconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream statm("/proc/" + std::to_string(aPid) + "/statm");
  double pages = 0;
  double resident = 0;
  statm >> pages >> resident;
  usage.mResidentMiB = resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
  return usage;
}

std::uint64_t CountStoreCalls(const Cell& aCell, std::uint16_t aPlatform)
{
  (void)aCell;
  boost::system::error_code ec;
  const boost::json::value stats = boost::json::parse(Get(aPlatform, "/v1/stats").mBody, ec);
  if (ec)
    return 0;
  std::uint64_t sum = 0;
  for (const auto& it : stats.at("calls").as_object())
    sum += it.value().to_number<std::uint64_t>();
  return sum;
}

// A value of the Prometheus text, summed over its label sets. 0 when the name is absent.
double ReadMetric(std::uint16_t aPort, const std::string& aName)
{
  std::istringstream lines(Get(aPort, "/metrics").mBody);
  std::string line;
  double sum = 0;
  while (std::getline(lines, line))
    if (line.rfind(aName, 0) == 0 && (line[aName.size()] == ' ' || line[aName.size()] == '{'))
      sum += std::atof(line.substr(line.rfind(' ') + 1).c_str());
  return sum;
}

struct Snapshot
{
  TimePoint mAt{};
  double mCpuSeconds = 0;
  double mResidentMiB = 0;  // of the largest process
  std::uint64_t mStoreCalls = 0;
  double mPeerBytes = 0;
  double mCrossZoneBytes = 0;
};

Snapshot Read(Cell& aCell, std::uint32_t aProcesses)
{
  Snapshot snapshot;
  snapshot.mAt = BootClock::now();
  for (std::uint32_t i = 0; i < aProcesses; ++i) {
    const Usage usage = ReadUsage(aCell.GetProcess(i).GetPid());
    snapshot.mCpuSeconds += usage.mCpuSeconds;
    snapshot.mResidentMiB = std::max(snapshot.mResidentMiB, usage.mResidentMiB);
    snapshot.mPeerBytes += ReadMetric(aCell.GetHttpPort(i), "monsoonstage_peer_bytes_total");
    snapshot.mCrossZoneBytes +=
      ReadMetric(aCell.GetHttpPort(i), "monsoonstage_cross_zone_bytes_total");
  }
  snapshot.mStoreCalls = CountStoreCalls(aCell, aCell.GetPlatform().GetPort());
  return snapshot;
}

boost::json::object Report(const char* aPhase,
                           const CellSize& aSize,
                           const Snapshot& aBefore,
                           const Snapshot& aAfter,
                           std::uint64_t aRequests)
{
  const double elapsed = std::chrono::duration<double>(aAfter.mAt - aBefore.mAt).count();
  const double perProcess = 1.0 / (elapsed * aSize.mProcesses);
  boost::json::object row;
  row["phase"] = aPhase;
  row["processes"] = aSize.mProcesses;
  row["workers"] = aSize.mWorkers;
  row["requests"] = aRequests;
  row["requests_per_second"] = static_cast<double>(aRequests) / elapsed;
  row["core_percent_per_process"] = 100 * (aAfter.mCpuSeconds - aBefore.mCpuSeconds) * perProcess;
  row["resident_mib_largest"] = aAfter.mResidentMiB;
  row["store_calls_per_second"] =
    static_cast<double>(aAfter.mStoreCalls - aBefore.mStoreCalls) / elapsed;
  row["store_calls_per_second_per_process"] =
    static_cast<double>(aAfter.mStoreCalls - aBefore.mStoreCalls) * perProcess;
  row["peer_bytes_per_second_per_process"] = (aAfter.mPeerBytes - aBefore.mPeerBytes) * perProcess;
  row["cross_zone_bytes_per_second_per_process"] =
    (aAfter.mCrossZoneBytes - aBefore.mCrossZoneBytes) * perProcess;
  if (aRequests > 0) {
    const double n = static_cast<double>(aRequests);
    row["store_calls_per_1000_requests"] =
      1000 * static_cast<double>(aAfter.mStoreCalls - aBefore.mStoreCalls) / n;
    row["cpu_ms_per_request"] = 1000 * (aAfter.mCpuSeconds - aBefore.mCpuSeconds) / n;
  }
  return row;
}

std::vector<boost::json::object> Measure(const CellSize& aSize, int aSeconds)
{
  std::vector<boost::json::object> rows;
  Cell cell({ .mProcesses = aSize.mProcesses, .mZones = aSize.mZones, .mWorkers = aSize.mWorkers });
  if (!cell.WaitUntilReady())
    return rows;
  std::this_thread::sleep_for(seconds(5));
  const Snapshot start = Read(cell, aSize.mProcesses);
  std::this_thread::sleep_for(seconds(aSeconds));
  const Snapshot rested = Read(cell, aSize.mProcesses);
  rows.push_back(Report("rest", aSize, start, rested, 0));

  std::vector<std::uint16_t> ports;
  for (std::uint32_t i = 0; i < aSize.mProcesses; ++i)
    ports.push_back(cell.GetHttpPort(i));
  RequestLoad load({ .mPorts = ports, .mThreads = aSize.mProcesses * 4 });
  std::this_thread::sleep_for(seconds(aSeconds));
  const std::uint64_t answered = load.Stop().size();
  rows.push_back(Report("requests", aSize, rested, Read(cell, aSize.mProcesses), answered));
  return rows;
}

}  // namespace

int main(int argc, char** argv)
{
  bool json = false;
  int duration = 10;
  for (int i = 1; i < argc; ++i) {
    if (std::string(argv[i]) == "--json")
      json = true;
    if (std::string(argv[i]) == "--seconds" && i + 1 < argc)
      duration = std::atoi(argv[++i]);
  }
  boost::json::array all;
  for (const CellSize& size : kSizes) {
    for (const boost::json::object& row : Measure(size, duration)) {
      all.push_back(row);
      if (json)
        continue;
      for (const auto& it : row)
        std::cout << std::left << std::setw(40) << it.key() << it.value() << '\n';
      std::cout << std::endl;
    }
  }
  if (json)
    std::cout << all << std::endl;
}
