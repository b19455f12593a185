// A recorded mix of VMs and jobs: one line each, fields divided by blanks.
//
//   vm NAME ZONE RACK MILLICORES MEMORY_MIB ACCELERATORS TYPE
//   job ID KIND TASKS MILLICORES MEMORY_MIB ACCELERATORS TYPE
//
// TYPE is "-" without accelerators.
#pragma once

#include <fstream>
#include <random>
#include <string>
#include <vector>

#include "policy/placement.h"

namespace monsoon::bench {

struct TraceJob
{
  TaskShape mShape{};
  std::uint32_t mTasks = 1;
};

struct PackingTrace
{
  std::vector<WorkerView> mWorkers{};
  std::vector<TraceJob> mJobs{};
};

inline WorkerView MakeWorker(std::string aName,
                             std::string aZone,
                             std::string aRack,
                             Resources aHas)
{
  WorkerView view;
  view.mSpec.mName = std::move(aName);
  view.mSpec.mZone = std::move(aZone);
  view.mSpec.mRack = std::move(aRack);
  view.mSpec.mCapacity = aHas;
  view.mFree = aHas;
  view.mKnown = true;
  if (aHas.mAccelerators > 0)
    view.mSpec.mAcceleratorType = "tensor";
  return view;
}

// Old and new VMs side by side, some with accelerators.
inline WorkerView DrawWorker(std::size_t aIndex, std::minstd_rand& aRandom)
{
  static const Resources kSizes[] = { { 16000, 65536 },  { 32000, 131072 },   { 32000, 131072 },
                                      { 64000, 131072 }, { 48000, 196608 },   { 32000, 131072, 4 },
                                      { 32000, 98304 },  { 64000, 262144, 8 } };
  static constexpr double kWeights[] = { 20, 30, 10, 12, 10, 4, 12, 2 };
  std::discrete_distribution<std::size_t> draw(std::begin(kWeights), std::end(kWeights));
  const std::string zone(1, static_cast<char>('a' + aIndex % 3));
  return MakeWorker("worker-" + std::to_string(aIndex),
                    "zone-" + zone,
                    "rack-" + std::to_string(aIndex / 8),
                    kSizes[draw(aRandom)]);
}

inline TraceJob DrawJob(std::size_t aIndex, std::minstd_rand& aRandom)
{
  const auto pick = [&aRandom](std::int64_t aLow, std::int64_t aHigh) {
    return std::uniform_int_distribution<std::int64_t>(aLow, aHigh)(aRandom);
  };
  TraceJob job;
  job.mShape.mJob = "job-" + std::to_string(aIndex);
  const std::int64_t kind = pick(0, 99);
  const std::int64_t cores = pick(1, 16) * 500;
  // From lean to memory-bound: 1 to 8 GiB a core.
  job.mShape.mNeed = { cores, cores * pick(1, 8) * 1024 / 1000 };
  job.mTasks = static_cast<std::uint32_t>(pick(1, 6));
  if (kind < 10) {
    job.mShape.mKind = JobKind::Gang;
    job.mShape.mNeed = { 1000, pick(1, 4) * 1024 };
    job.mTasks = static_cast<std::uint32_t>(pick(8, 40));
  } else if (kind < 25) {
    job.mShape.mKind = JobKind::Service;
    job.mShape.mSpreadRacks = true;
  } else if (kind < 30) {
    job.mShape.mNeed.mAccelerators = pick(1, 2);
    job.mShape.mAcceleratorType = "tensor";
    job.mTasks = 1;
  }
  return job;
}

// Jobs are drawn until they want aDemand of all cores or of all memory.
inline PackingTrace DrawTrace(std::size_t aWorkers, double aDemand, unsigned aSeed)
{
  std::minstd_rand random(aSeed);
  PackingTrace trace;
  for (std::size_t i = 0; i < aWorkers; ++i)
    trace.mWorkers.push_back(DrawWorker(i, random));
  Resources left;
  for (const WorkerView& it : trace.mWorkers)
    left = Add(left, it.mFree);
  left.mMilliCores = static_cast<std::int64_t>(static_cast<double>(left.mMilliCores) * aDemand);
  left.mMemoryMiB = static_cast<std::int64_t>(static_cast<double>(left.mMemoryMiB) * aDemand);
  while (left.mMilliCores > 0 && left.mMemoryMiB > 0) {
    trace.mJobs.push_back(DrawJob(trace.mJobs.size(), random));
    for (std::uint32_t i = 0; i < trace.mJobs.back().mTasks; ++i)
      left = Subtract(left, trace.mJobs.back().mShape.mNeed);
  }
  return trace;
}

inline std::string OrDash(const std::string& aText)
{
  return aText.empty() ? "-" : aText;
}

inline void WriteTrace(const PackingTrace& aTrace, const std::string& aFile)
{
  std::ofstream out(aFile);
  for (const WorkerView& it : aTrace.mWorkers) {
    const WorkerSpec& spec = it.mSpec;
    out << "vm " << spec.mName << ' ' << spec.mZone << ' ' << spec.mRack << ' '
        << spec.mCapacity.mMilliCores << ' ' << spec.mCapacity.mMemoryMiB << ' '
        << spec.mCapacity.mAccelerators << ' ' << OrDash(spec.mAcceleratorType) << '\n';
  }
  for (const TraceJob& it : aTrace.mJobs)
    out << "job " << it.mShape.mJob << ' ' << GetName(it.mShape.mKind) << ' ' << it.mTasks << ' '
        << it.mShape.mNeed.mMilliCores << ' ' << it.mShape.mNeed.mMemoryMiB << ' '
        << it.mShape.mNeed.mAccelerators << ' ' << OrDash(it.mShape.mAcceleratorType) << '\n';
}

inline JobKind ParseKind(const std::string& aText)
{
  for (const JobKind kind : { JobKind::Service, JobKind::Gang, JobKind::Watch })
    if (aText == GetName(kind))
      return kind;
  return JobKind::Batch;
}

inline PackingTrace ReadTrace(const std::string& aFile)
{
  PackingTrace trace;
  std::ifstream in(aFile);
  std::string what;
  while (in >> what) {
    std::string name;
    std::string second;
    std::string third;
    std::string type;
    Resources size;
    in >> name >> second >> third >> size.mMilliCores >> size.mMemoryMiB >> size.mAccelerators >>
      type;
    if (what == "vm") {
      trace.mWorkers.push_back(MakeWorker(name, second, third, size));
      continue;
    }
    TraceJob job;
    job.mShape.mJob = name;
    job.mShape.mKind = ParseKind(second);
    job.mShape.mSpreadRacks = job.mShape.mKind == JobKind::Service;
    job.mShape.mNeed = size;
    job.mShape.mAcceleratorType = type == "-" ? "" : type;
    job.mTasks = static_cast<std::uint32_t>(std::stoul(third));
    trace.mJobs.push_back(std::move(job));
  }
  return trace;
}

}  // namespace monsoon::bench
