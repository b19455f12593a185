// Which owners a request asks for a slot, and when; and which worker an owner gives. Pure:
// randomness is passed in.
#pragma once

#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

#include "policy/worker_view.h"

namespace monsoon {

using RandomSource = std::mt19937_64;

enum class Routing : std::uint8_t
{
  LateBinding,        // own process, own zone, then other zones; the first free slot wins
  Random,             // one owner, by number of workers
  LeastLoadedGossip,  // the owner with the least load as gossiped
  TwoChoices          // the less loaded of two random owners
};

[[nodiscard]] std::optional<Routing> ParseRouting(std::string_view aName);
[[nodiscard]] std::string_view GetName(Routing aRouting) noexcept;

struct OwnerView  // a process that owns workers, as an entry process sees it
{
  ProcessName mName{};
  ZoneName mZone{};
  bool mUsable = true;          // alive and not leaving
  std::uint32_t mWorkers = 1;   // it owns; 1 when not known
  std::int64_t mFreeSlots = 0;  // less those who wait there; as gossiped, a hint
};

struct RoutingSettings
{
  Routing mRouting = Routing::LateBinding;
  Duration mZoneStep = milliseconds(1);  // own process alone for this long, if it owns workers
  Duration mCrossZonePrice = milliseconds(2);   // waiting time that one cross-zone request is worth
  Duration mFullZonePrice = milliseconds(250);  // the same for an owner that says it is full
  std::uint32_t mZoneFanOut = 4;                // owners asked delay once in the own zone
  std::uint32_t mCrossFanOut = 1;               // owners of other zones added per step
};

struct RouteStep
{
  Duration mAfter{};                   // since the first step
  std::vector<ProcessName> mOwners{};  // reserve there, beside earlier steps
};

[[nodiscard]] std::vector<RouteStep> MakeRoute(std::span<const OwnerView> aOwners,
                                               const ProcessName& aSelf,
                                               const ZoneName& aZone,
                                               const RoutingSettings& aSettings,
                                               RandomSource& aRandom);

// Index of the worker with the least share of its slots in use; workers without a free slot and
// excluded ones are passed over. aTurn breaks ties in rotation.
[[nodiscard]] std::optional<std::size_t> PickSlotWorker(std::span<const WorkerView> aWorkers,
                                                        std::size_t aTurn);

}  // namespace monsoon
