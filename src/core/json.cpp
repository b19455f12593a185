#include "core/json.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace monsoon {

namespace json = boost::json;

Result<json::value> ParseJson(std::string_view aText, json::storage_ptr aStorage)
{
  json::error_code ec;
  json::parse_options options;
  options.max_depth = 32;
  json::value value = json::parse(aText, ec, std::move(aStorage), options);
  if (ec)
    return MakeFailure(FailureKind::BadInput, "not JSON: " + ec.message());
  return value;
}

const json::value& GetMember(const json::value& aValue, std::string_view aKey)
{
  static const json::value kNull;
  const json::object* object = aValue.if_object();
  if (!object)
    return kNull;
  const json::value* member = object->if_contains(aKey);
  return member ? *member : kNull;
}

std::string GetString(const json::value& aValue, std::string_view aKey, std::string aDefault)
{
  const json::string* text = GetMember(aValue, aKey).if_string();
  return text ? std::string(text->data(), text->size()) : std::move(aDefault);
}

std::optional<std::int64_t> ReadWhole(const json::value& aValue)
{
  if (const auto* n = aValue.if_int64())
    return *n;
  constexpr double kMaxExact = 9'007'199'254'740'992;  // 2^53
  const auto* n = aValue.if_double();
  if (!n || !(std::abs(*n) <= kMaxExact) || *n != std::floor(*n))
    return std::nullopt;
  return static_cast<std::int64_t>(*n);
}

std::uint64_t GetUnsigned(const json::value& aValue, std::string_view aKey, std::uint64_t aDefault)
{
  const json::value& member = GetMember(aValue, aKey);
  if (const auto* n = member.if_uint64())
    return *n;
  const auto n = ReadWhole(member);
  return n && *n >= 0 ? static_cast<std::uint64_t>(*n) : aDefault;
}

std::int64_t GetSigned(const json::value& aValue, std::string_view aKey, std::int64_t aDefault)
{
  return ReadWhole(GetMember(aValue, aKey)).value_or(aDefault);
}

Duration GetMillis(const json::value& aValue, std::string_view aKey, std::int64_t aDefault)
{
  static constexpr std::int64_t kMaxMillis = std::int64_t(10) * 365 * 24 * 3600 * 1000;
  return milliseconds(std::clamp(GetSigned(aValue, aKey, aDefault), -kMaxMillis, kMaxMillis));
}

bool GetBool(const json::value& aValue, std::string_view aKey, bool aDefault)
{
  const bool* flag = GetMember(aValue, aKey).if_bool();
  return flag ? *flag : aDefault;
}

const json::array& GetArray(const json::value& aValue, std::string_view aKey)
{
  static const json::array kEmpty;
  const json::array* array = GetMember(aValue, aKey).if_array();
  return array ? *array : kEmpty;
}

// Model

json::object MakeJson(const Resources& aResources)
{
  json::object object;
  object["milli_cores"] = aResources.mMilliCores;
  object["memory_mib"] = aResources.mMemoryMiB;
  object["accelerators"] = aResources.mAccelerators;
  object["slots"] = aResources.mSlots;
  object["connections"] = aResources.mConnections;
  return object;
}

Resources ParseResources(const json::value& aValue)
{
  return { GetSigned(aValue, "milli_cores"),
           GetSigned(aValue, "memory_mib"),
           GetSigned(aValue, "accelerators"),
           GetSigned(aValue, "slots"),
           GetSigned(aValue, "connections") };
}

json::object MakeJson(const WorkerSpec& aWorker)
{
  json::object object;
  object["name"] = aWorker.mName;
  object["zone"] = aWorker.mZone;
  object["rack"] = aWorker.mRack;
  object["host"] = aWorker.mHost;
  object["port"] = aWorker.mPort;
  object["capacity"] = MakeJson(aWorker.mCapacity);
  object["accelerator_type"] = aWorker.mAcceleratorType;
  object["processor_type"] = aWorker.mProcessorType;
  object["leaving"] = aWorker.mLeaving;
  return object;
}

WorkerSpec ParseWorkerSpec(const json::value& aValue)
{
  WorkerSpec worker;
  worker.mName = GetString(aValue, "name");
  worker.mZone = GetString(aValue, "zone");
  worker.mRack = GetString(aValue, "rack");
  worker.mHost = GetString(aValue, "host", worker.mHost);
  worker.mPort = static_cast<std::uint16_t>(GetUnsigned(aValue, "port"));
  worker.mCapacity = ParseResources(GetMember(aValue, "capacity"));
  worker.mAcceleratorType = GetString(aValue, "accelerator_type");
  worker.mProcessorType = GetString(aValue, "processor_type");
  worker.mLeaving = GetBool(aValue, "leaving");
  return worker;
}

json::object MakeJson(const JobSpec& aSpec)
{
  json::object object;
  object["id"] = aSpec.mId;
  object["kind"] = GetName(aSpec.mKind);
  object["team"] = aSpec.mTeam;
  object["priority"] = GetName(aSpec.mPriority);
  object["tasks"] = aSpec.mTasks;
  object["shape"] = MakeJson(aSpec.mShape);
  object["accelerator_type"] = aSpec.mAcceleratorType;
  object["expected_run_ms"] = std::chrono::duration_cast<milliseconds>(aSpec.mExpectedRun).count();
  object["repeatable"] = aSpec.mRepeatable;
  object["spread_zones"] = aSpec.mSpreadZones;
  object["spread_racks"] = aSpec.mSpreadRacks;
  object["max_attempts"] = aSpec.mMaxAttempts;
  object["payload"] = aSpec.mPayload;
  return object;
}

namespace {

Result<JobKind> ParseJobKind(std::string_view aName)
{
  for (const JobKind kind : { JobKind::Service, JobKind::Batch, JobKind::Gang, JobKind::Watch })
    if (aName == GetName(kind))
      return kind;
  return MakeFailure(FailureKind::BadInput, "kind: expected service, batch, gang or watch");
}

Result<Priority> ParsePriority(std::string_view aName)
{
  for (const Priority priority : { Priority::Urgent, Priority::Normal, Priority::Low })
    if (aName == GetName(priority))
      return priority;
  return MakeFailure(FailureKind::BadInput, "priority: expected urgent, normal or low");
}

constexpr std::uint64_t kMaxTasksPerJob = 100000;

}  // namespace

Result<JobSpec> ParseJobSpec(const json::value& aValue)
{
  if (!aValue.is_object())
    return MakeFailure(FailureKind::BadInput, "expected a JSON object");
  JobSpec spec;
  spec.mId = GetString(aValue, "id");
  auto kind = ParseJobKind(GetString(aValue, "kind", "batch"));
  if (!kind)
    return kind.error();
  spec.mKind = *kind;
  auto priority = ParsePriority(GetString(aValue, "priority", "normal"));
  if (!priority)
    return priority.error();
  spec.mPriority = *priority;
  spec.mTeam = GetString(aValue, "team", spec.mTeam);
  const std::uint64_t tasks = GetUnsigned(aValue, "tasks", spec.mTasks);
  if (tasks == 0 || tasks > kMaxTasksPerJob)
    return MakeFailure(FailureKind::BadInput, "tasks: expected 1 to 100000");
  spec.mTasks = static_cast<std::uint32_t>(tasks);
  if (GetMember(aValue, "shape").is_object())
    spec.mShape = ParseResources(GetMember(aValue, "shape"));
  if (IsNegative(spec.mShape))
    return MakeFailure(FailureKind::BadInput, "shape: no member may be negative");
  spec.mAcceleratorType = GetString(aValue, "accelerator_type");
  spec.mExpectedRun = GetMillis(aValue, "expected_run_ms", 60000);
  if (spec.mExpectedRun < Duration::zero())
    return MakeFailure(FailureKind::BadInput, "expected_run_ms: must not be negative");
  spec.mRepeatable = GetBool(aValue, "repeatable", spec.mRepeatable);
  spec.mSpreadZones = GetBool(aValue, "spread_zones");
  spec.mSpreadRacks = GetBool(aValue, "spread_racks");
  spec.mMaxAttempts =
    static_cast<std::uint32_t>(GetUnsigned(aValue, "max_attempts", spec.mMaxAttempts));
  spec.mPayload = GetString(aValue, "payload");
  return spec;
}

// URLs

std::string EncodeTarget(std::string_view aText)
{
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (const char c : aText) {
    const bool plain = std::isalnum(static_cast<unsigned char>(c)) ||
                       std::string_view("-._~/").find(c) != std::string_view::npos;
    if (plain) {
      out += c;
      continue;
    }
    out += '%';
    out += kHex[static_cast<unsigned char>(c) >> 4];
    out += kHex[static_cast<unsigned char>(c) & 15];
  }
  return out;
}

std::string DecodeTarget(std::string_view aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    unsigned byte = 0;
    const bool escaped =
      aText[i] == '%' && i + 2 < aText.size() &&
      std::from_chars(aText.data() + i + 1, aText.data() + i + 3, byte, 16).ptr ==
        aText.data() + i + 3;
    out += escaped ? static_cast<char>(byte) : aText[i];
    if (escaped)
      i += 2;
  }
  return out;
}

std::string_view GetPath(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string GetQuery(std::string_view aTarget, std::string_view aKey)
{
  const auto start = aTarget.find('?');
  if (start == std::string_view::npos)
    return {};
  std::string_view rest = aTarget.substr(start + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const auto equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == aKey)
      return DecodeTarget(equals < pair.size() ? pair.substr(equals + 1) : "");
    rest = end < rest.size() ? rest.substr(end + 1) : std::string_view();
  }
  return {};
}

}  // namespace monsoon
