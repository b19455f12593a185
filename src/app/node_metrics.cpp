// Metrics of a node; docs/OPERATING.md lists the series.
#include <utility>

#include "app/node_state.h"

namespace monsoon {

namespace {

constexpr const char* kPurposes[kCallPurposes] = { "journal", "snapshot", "session",
                                                   "watch",   "recovery", "vms" };

double Divide(std::int64_t aPart, std::int64_t aWhole)
{
  return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole) : 0;
}

}  // namespace

void Node::State::RecordRequest(const RequestContext& aContext)
{
  const Outcome outcome = aContext.mMachine.GetOutcome();
  mNodeMetrics.CountOutcome(WorkKind::Request, outcome);
  if (outcome != Outcome::Answered && aContext.mFailure)
    mNodeMetrics.CountRefusal(aContext.mFailure->mKind);
  if (aContext.mAttempts == 0)
    return;
  const Duration waited = aContext.mFirstSentAt - aContext.mArrivedAt;
  mNodeMetrics.RecordWaiting(WorkKind::Request, aContext.mSpec.mPriority, waited);
  mNodeMetrics.RecordDecision(DecisionKind::Route, waited);
}

void Node::State::RecordPlacement(const TaskShape& aShape,
                                  std::size_t aTasks,
                                  Duration aWaited,
                                  Duration aTook)
{
  for (std::size_t i = 0; i < aTasks; ++i)
    mNodeMetrics.RecordWaiting(GetWorkKind(aShape.mKind), aShape.mPriority, aWaited + aTook);
  mNodeMetrics.RecordDecision(DecisionKind::Place, aTook);
}

// Updates the gauges, and the counters whose totals other parts keep. It runs at each scrape, so
// that these series cost nothing in between.
void Node::State::UpdateGauges()
{
  {
    // Adds the difference from the totals of the last scrape.
    std::lock_guard lock(mScrapeLock);
    const StoreCounts counts = mStore.GetCounts();
    for (std::size_t i = 0; i < kCallPurposes; ++i)
      mNodeMetrics.CountStoreCalls(kPurposes[i],
                                   counts.mCalls[i] - mLastScrape.mStoreCalls.mCalls[i]);
    mLastScrape.mStoreCalls = counts;
    const std::uint64_t crossZone = mLink->CountCrossZoneBytes();
    mNodeMetrics.AddCrossZoneBytes(crossZone -
                                   std::exchange(mLastScrape.mCrossZoneBytes, crossZone));
    const std::uint64_t sent = mLink->CountSentBytes();
    mMetrics.GetCounter("monsoonstage_peer_bytes_total")
      .Add(sent - std::exchange(mLastScrape.mPeerBytes, sent));
  }
  mMetrics.GetGauge("monsoonstage_free_slots").Set(mWork->CountFreeSlots());
  mMetrics.GetGauge("monsoonstage_configuration_revision")
    .Set(static_cast<double>(mControl->GetConfiguration()->mRevision));

  Resources capacity;
  Resources free;
  for (const WorkerView& it : mWork->ListViews()) {
    if (!it.mKnown)
      continue;
    capacity = Add(capacity, it.mSpec.mCapacity);
    free = Add(free, it.mFree);
  }
  const Resources used = Subtract(capacity, free);
  mNodeMetrics.SetPacking("processors", Divide(used.mMilliCores, capacity.mMilliCores));
  mNodeMetrics.SetPacking("memory", Divide(used.mMemoryMiB, capacity.mMemoryMiB));
  mNodeMetrics.SetPacking("accelerators", Divide(used.mAccelerators, capacity.mAccelerators));
  mNodeMetrics.SetPacking("slots", Divide(used.mSlots, capacity.mSlots));
}

HttpResponse Node::State::ShowMetrics()
{
  UpdateGauges();
  HttpResponse response(http::status::ok, 11);
  response.set(http::field::content_type, "text/plain; version=0.0.4");
  response.body() = mMetrics.Render();
  return response;
}

}  // namespace monsoon
