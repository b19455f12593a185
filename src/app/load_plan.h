// The plan of a load run: what arrives, and when. It is made before the run starts and depends only
// on the options, which include the seed.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/errors.h"
#include "core/model.h"

namespace monsoon {

struct WorkClass  // one kind of work in a profile
{
  std::string mName{};
  double mShare = 1;  // of all arrivals
  bool mJob = false;  // a job; otherwise a request
  JobKind mKind = JobKind::Batch;
  Priority mPriority = Priority::Normal;
  bool mRepeatable = true;
  std::uint32_t mTasks = 1;
  Resources mShape{ 500, 128, 0, 0, 0 };
  Duration mRun = milliseconds(20);  // mean
};

struct LoadProfile
{
  std::string mName{};
  std::vector<WorkClass> mClasses{};
};

[[nodiscard]] Result<LoadProfile> FindProfile(std::string_view aName);  // drying, dairy

struct LoadOptions
{
  LoadProfile mProfile{};
  double mRate = 100;  // arrivals per second
  Duration mLength = seconds(10);
  double mPeakFactor = 1;   // rate in the middle fifth of the run, as a multiple of mRate
  double mCancelShare = 0;  // share of the jobs in flight that each wave cancels
  Duration mCancelInterval = seconds(5);
  double mSizeErrorFactor = 1;  // declared sizes and run times are wrong by up to this factor
  std::uint64_t mSeed = 1;
};

struct LoadItem  // one arrival, or one wave of cancellations
{
  Duration mAt{};  // since the start of the run
  std::size_t mClass = 0;
  Duration mRun{};          // actual run time
  Duration mDeclaredRun{};  // run time that the job declares
  Resources mDeclared{};    // resources that the job declares
  bool mCancelWave = false;
};

[[nodiscard]] std::vector<LoadItem> PlanLoad(const LoadOptions& aOptions);

}  // namespace monsoon
