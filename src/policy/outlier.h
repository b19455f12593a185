// Outlier detection: ejects workers whose requests fail in a row and re-admits them after a
// successful half-open probe. A caller that fails on many workers is suspect, and its failures are
// not attributed to the workers. Performs no I/O and reads no clock.
#pragma once

#include <map>
#include <set>
#include <string>

#include "core/model.h"
#include "peer/messages.h"

namespace monsoon {

struct OutlierSettings
{
  std::uint32_t mFailures = 5;        // in a row, by callers that are not suspect; ejects
  std::uint32_t mSuspectWorkers = 3;  // workers with failures that make a caller suspect
  Duration mWindow = seconds(10);     // failures older than this are forgotten
  Duration mEjectFor = seconds(2);    // first ejection; doubles with each one in a row
  Duration mMaxEjectFor = seconds(60);
  double mMaxEjectedShare = 0.5;  // of the workers, see SetWorkerCount
};

enum class WorkerHealth : std::uint8_t
{
  Good,
  Probing,  // half-open: one request at a time
  Ejected,
};

class OutlierTable
{
public:
  explicit OutlierTable(OutlierSettings aSettings = {});

  void Record(const WorkerName& aWorker, const std::string& aCaller, GrantEnd aEnd, TimePoint aNow);
  [[nodiscard]] WorkerHealth GetHealth(const WorkerName& aWorker, TimePoint aNow) const;
  // Returns whether the worker may get a request now. A probing worker has at most one request in
  // flight; call BeginProbe when it gets one.
  [[nodiscard]] bool MayUse(const WorkerName& aWorker, TimePoint aNow) const;
  void BeginProbe(const WorkerName& aWorker, TimePoint aNow);
  void SetWorkerCount(std::size_t aCount);  // base of mMaxEjectedShare; 0: no limit
  // Returns whether the caller recently failed on mSuspectWorkers workers or more, and on at least
  // as many as it succeeded on.
  [[nodiscard]] bool IsSuspect(const std::string& aCaller, TimePoint aNow) const;

private:
  struct Worker
  {
    std::map<std::string, std::uint32_t> mFailures{};  // in a row, by caller
    std::uint32_t mRefusals = 0;                       // in a row, of any caller
    TimePoint mLastFailure{};
    std::uint32_t mEjections = 0;  // in a row
    TimePoint mEjectedUntil = TimePoint::min();
    bool mEjected = false;  // until a probe succeeds
    TimePoint mProbeUntil = TimePoint::min();
  };
  struct Caller
  {
    std::map<WorkerName, TimePoint> mFailedOn{};
    std::map<WorkerName, TimePoint> mSucceededOn{};
  };

  [[nodiscard]] std::size_t CountEjected() const;
  [[nodiscard]] std::uint32_t CountAttributedFailures(const Worker& aWorker, TimePoint aNow) const;
  void Eject(Worker& aWorker, TimePoint aNow);
  void DropExpired(TimePoint aNow);

  OutlierSettings mSettings;
  std::map<WorkerName, Worker> mWorkers{};
  std::map<std::string, Caller> mCallers{};
  std::size_t mWorkerCount = 0;
  TimePoint mLastCleanup{};
};

}  // namespace monsoon
