#include "worker/wire.h"

#include "core/json.h"

namespace monsoon {

namespace json = boost::json;

namespace {

std::int64_t ToMillis(Duration aValue)
{
  return std::chrono::duration_cast<milliseconds>(aValue).count();
}

json::object MakeTaskJson(const TaskKey& aTask, std::uint32_t aAttempt)
{
  json::object object;
  object["job"] = aTask.mJob;
  object["index"] = aTask.mIndex;
  object["attempt"] = aAttempt;
  return object;
}

TaskKey ParseTaskKey(const json::value& aValue)
{
  return { GetString(aValue, "job"), static_cast<std::uint32_t>(GetUnsigned(aValue, "index")) };
}

std::uint32_t ParseAttempt(const json::value& aValue)
{
  return static_cast<std::uint32_t>(GetUnsigned(aValue, "attempt"));
}

using Attempts = std::vector<std::pair<TaskKey, std::uint32_t>>;

json::array MakeJson(const Attempts& aAttempts)
{
  json::array array;
  for (const auto& [task, attempt] : aAttempts)
    array.push_back(MakeTaskJson(task, attempt));
  return array;
}

Attempts ParseAttempts(const json::array& aArray)
{
  Attempts attempts;
  for (const auto& it : aArray)
    attempts.emplace_back(ParseTaskKey(it), ParseAttempt(it));
  return attempts;
}

}  // namespace

json::object MakeJson(const TaskStart& aStart, std::int64_t aStartBefore, Duration aLease)
{
  json::object object = MakeTaskJson(aStart.mTask, aStart.mAttempt);
  object["epoch"] = aStart.mEpoch;
  object["kind"] = GetName(aStart.mKind);
  object["need"] = MakeJson(aStart.mNeed);
  object["expected_run_ms"] = ToMillis(aStart.mExpectedRun);
  object["start_before"] = aStartBefore;
  object["lease_ms"] = ToMillis(aLease);
  object["payload"] = aStart.mPayload;
  return object;
}

TaskStart ParseTaskStart(const json::value& aValue)
{
  TaskStart start;
  start.mTask = ParseTaskKey(aValue);
  start.mAttempt = ParseAttempt(aValue);
  start.mEpoch = GetUnsigned(aValue, "epoch");
  start.mNeed = ParseResources(GetMember(aValue, "need"));
  start.mExpectedRun = GetMillis(aValue, "expected_run_ms");
  start.mPayload = GetString(aValue, "payload");
  return start;
}

json::object MakeJson(const TaskStop& aStop)
{
  json::object object = MakeTaskJson(aStop.mTask, aStop.mAttempt);
  object["checkpoint"] = aStop.mMode == TaskStopMode::Checkpoint;
  return object;
}

TaskStop ParseTaskStop(const json::value& aValue)
{
  TaskStop stop;
  stop.mTask = ParseTaskKey(aValue);
  stop.mAttempt = ParseAttempt(aValue);
  stop.mMode = GetBool(aValue, "checkpoint") ? TaskStopMode::Checkpoint : TaskStopMode::Stop;
  return stop;
}

json::object MakeJson(const LeaseRenewal& aRenewal)
{
  json::object object;
  object["epoch"] = aRenewal.mEpoch;
  object["lease_ms"] = ToMillis(aRenewal.mLease);
  object["renew"] = MakeJson(aRenewal.mRenew);
  object["acknowledge"] = MakeJson(aRenewal.mAcknowledge);
  return object;
}

LeaseRenewal ParseLeaseRenewal(const json::value& aValue)
{
  LeaseRenewal renewal;
  renewal.mEpoch = GetUnsigned(aValue, "epoch");
  renewal.mLease = GetMillis(aValue, "lease_ms");
  renewal.mRenew = ParseAttempts(GetArray(aValue, "renew"));
  renewal.mAcknowledge = ParseAttempts(GetArray(aValue, "acknowledge"));
  return renewal;
}

json::object MakeJson(const Inventory& aInventory)
{
  json::object object;
  object["incarnation"] = aInventory.mIncarnation;
  object["now_ms"] = aInventory.mNowMs;
  object["highest_epoch"] = aInventory.mHighestEpoch;
  json::array tasks;
  for (const WorkerTask& task : aInventory.mTasks) {
    json::object it = MakeTaskJson(task.mTask, task.mAttempt);
    it["epoch"] = task.mEpoch;
    it["end"] = static_cast<unsigned>(task.mEnd);
    it["need"] = MakeJson(task.mNeed);
    it["used"] = MakeJson(task.mUsed);
    it["ran_ms"] = ToMillis(task.mRan);
    tasks.push_back(std::move(it));
  }
  object["tasks"] = std::move(tasks);
  json::array requests;
  for (const RequestId& id : aInventory.mRequests)
    requests.push_back(json::string(id));
  object["requests"] = std::move(requests);
  return object;
}

Inventory ParseInventory(const json::value& aValue)
{
  Inventory inventory;
  inventory.mIncarnation = GetString(aValue, "incarnation");
  inventory.mNowMs = GetSigned(aValue, "now_ms");
  inventory.mHighestEpoch = GetUnsigned(aValue, "highest_epoch");
  for (const auto& it : GetArray(aValue, "tasks")) {
    WorkerTask task;
    task.mTask = ParseTaskKey(it);
    task.mAttempt = ParseAttempt(it);
    task.mEpoch = GetUnsigned(it, "epoch");
    const std::uint64_t end = GetUnsigned(it, "end");
    task.mEnd =
      end <= static_cast<unsigned>(TaskEnd::Unknown) ? static_cast<TaskEnd>(end) : TaskEnd::Unknown;
    task.mNeed = ParseResources(GetMember(it, "need"));
    task.mUsed = ParseResources(GetMember(it, "used"));
    task.mRan = GetMillis(it, "ran_ms");
    inventory.mTasks.push_back(std::move(task));
  }
  for (const auto& it : GetArray(aValue, "requests"))
    if (it.is_string())
      inventory.mRequests.emplace_back(it.get_string());
  return inventory;
}

}  // namespace monsoon
