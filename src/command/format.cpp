#include <sstream>

#include "command/command.h"

namespace monsoon {

namespace {

void AppendCores(std::ostream& aOut, std::int64_t aMilliCores)
{
  aOut << " cores " << aMilliCores / 1000 << '.';
  const std::string thousandths = std::to_string(aMilliCores % 1000);
  aOut << std::string(3 - thousandths.size(), '0') << thousandths;
}

void AppendResources(std::ostream& aOut, const Resources& aValue, const std::string& aType)
{
  AppendCores(aOut, aValue.mMilliCores);
  aOut << " memory " << aValue.mMemoryMiB << "MiB";
  if (aValue.mAccelerators > 0)
    aOut << " accelerators " << aValue.mAccelerators;
  if (aValue.mAccelerators > 0 && !aType.empty())
    aOut << " of " << Quote(aType);
  if (aValue.mSlots > 0)
    aOut << " slots " << aValue.mSlots;
  if (aValue.mConnections > 0)
    aOut << " connections " << aValue.mConnections;
}

}  // namespace

std::string Quote(std::string_view aText)
{
  std::string out = "\"";
  for (const char c : aText) {
    if (c == '"' || c == '\\')
      out += '\\';
    out += c;
  }
  return out + '"';
}

std::string FormatCommand(const DeclareJob& aCommand)
{
  const JobSpec& spec = aCommand.mSpec;
  std::ostringstream out;
  out << "declare " << GetName(spec.mKind) << ' ' << Quote(spec.mId) << " tasks " << spec.mTasks
      << " team " << Quote(spec.mTeam) << " priority " << GetName(spec.mPriority);
  AppendResources(out, spec.mShape, spec.mAcceleratorType);
  out << " run " << std::chrono::duration_cast<milliseconds>(spec.mExpectedRun).count()
      << "ms attempts " << spec.mMaxAttempts;
  if (spec.mSpreadZones)
    out << " spread zones";
  if (spec.mSpreadRacks)
    out << " spread racks";
  if (!spec.mRepeatable)
    out << " once";
  if (!spec.mPayload.empty())
    out << " payload " << Quote(spec.mPayload);
  return std::move(out).str();
}

std::string FormatCommand(const SetTeam& aCommand)
{
  std::ostringstream out;
  out << "set team " << Quote(aCommand.mQuota.mTeam) << " quota";
  AppendResources(out, aCommand.mQuota.mGuaranteed, {});
  if (!aCommand.mQuota.mMayBorrow)
    out << " no borrowing";
  return std::move(out).str();
}

std::string FormatCommand(const SetSetting& aCommand)
{
  return "set " + aCommand.mName + " = " + Quote(aCommand.mValue);
}

const char* GetName(ShowTarget aTarget) noexcept
{
  static constexpr const char* kNames[] = { "workers",   "jobs",  "tasks",
                                            "processes", "teams", "config" };
  return kNames[static_cast<std::size_t>(aTarget)];
}

}  // namespace monsoon
