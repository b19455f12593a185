#include "standin/worker_behaviour.h"

#include "core/json.h"

namespace monsoon::standin {

namespace {

Duration GetMillis(const boost::json::value& aValue, std::string_view aKey, Duration aDefault)
{
  const auto fallback = std::chrono::duration_cast<milliseconds>(aDefault).count();
  return milliseconds(GetUnsigned(aValue, aKey, static_cast<std::uint64_t>(fallback)));
}

double GetFactor(const boost::json::value& aValue, double aDefault)
{
  const boost::json::value& factor = GetMember(aValue, "use_factor");
  return factor.is_number() ? factor.to_number<double>() : aDefault;
}

}  // namespace

Behaviour ParseBehaviour(const std::string& aText, const Behaviour& aDefault)
{
  Behaviour behaviour = aDefault;
  const auto value = ParseJson(aText);
  if (!value || !value->is_object())
    return behaviour;
  behaviour.mRun = GetMillis(*value, "run_ms", aDefault.mRun);
  behaviour.mFail = GetBool(*value, "fail", aDefault.mFail);
  behaviour.mUseFactor = GetFactor(*value, aDefault.mUseFactor);
  behaviour.mUseLag = GetMillis(*value, "use_lag_ms", aDefault.mUseLag);
  behaviour.mBytes = GetUnsigned(*value, "bytes", aDefault.mBytes);
  behaviour.mStall = GetBool(*value, "stall", aDefault.mStall);
  behaviour.mHalf = GetBool(*value, "half", aDefault.mHalf);
  behaviour.mClose = GetBool(*value, "close", aDefault.mClose);
  return behaviour;
}

Resources ComputeUse(const Behaviour& aBehaviour, const Resources& aNeed, Duration aRan)
{
  Resources used = aNeed;
  if (aRan < aBehaviour.mUseLag)
    return { 0, 0, aNeed.mAccelerators, aNeed.mSlots, aNeed.mConnections };
  used.mMilliCores =
    static_cast<std::int64_t>(static_cast<double>(aNeed.mMilliCores) * aBehaviour.mUseFactor);
  used.mMemoryMiB =
    static_cast<std::int64_t>(static_cast<double>(aNeed.mMemoryMiB) * aBehaviour.mUseFactor);
  return used;
}

}  // namespace monsoon::standin
