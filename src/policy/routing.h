// Chooses which owners a request asks for a slot, and when, and which worker an owner grants. No
// I/O, no clock; randomness is passed in.
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
  Random,             // one random owner, weighted by its number of workers
  LeastLoadedGossip,  // the owner with the most free slots as gossiped
  TwoChoices          // of two random owners, the one with more free slots
};

[[nodiscard]] std::optional<Routing> ParseRouting(std::string_view aName);
[[nodiscard]] std::string_view GetName(Routing aRouting) noexcept;

struct OwnerView  // what an entry process knows of a process that owns workers
{
  ProcessName mName{};
  ZoneName mZone{};
  bool mUsable = true;          // alive and not leaving
  std::uint32_t mWorkers = 1;   // workers that it owns; 1 if unknown
  std::int64_t mFreeSlots = 0;  // minus requests waiting there; a hint, as gossiped
};

struct RoutingSettings
{
  // A "price" is the waiting time that avoiding one cross-zone request is worth.
  Routing mRouting = Routing::LateBinding;
  Duration mZoneStep = milliseconds(1);         // delay between steps in the own process and zone
  Duration mCrossZonePrice = milliseconds(2);   // delay before each step to other zones
  Duration mFullZonePrice = milliseconds(250);  // the same for owners without free slots
  std::uint32_t mZoneFanOut = 4;                // owners of the own zone asked per step
  std::uint32_t mCrossFanOut = 1;               // owners of other zones asked per step
};

struct RouteStep
{
  Duration mAfter{};                   // since the first step
  std::vector<ProcessName> mOwners{};  // asked in addition to those of earlier steps
};

// Returns the steps in order of time: the own process if it owns workers, other owners of its zone,
// owners in other zones that have free slots, and the full ones there. Routings other than
// LateBinding have one step with one owner. Empty when no owner is usable.
[[nodiscard]] std::vector<RouteStep> MakeRoute(std::span<const OwnerView> aOwners,
                                               const ProcessName& aSelf,
                                               const ZoneName& aZone,
                                               const RoutingSettings& aSettings,
                                               RandomSource& aRandom);

// Returns the index of the worker with the largest share of free slots, or std::nullopt. Skips
// workers that are unknown, excluded or full. Ties go to the first one from index aTurn on, so that
// callers rotate by incrementing aTurn.
[[nodiscard]] std::optional<std::size_t> PickSlotWorker(std::span<const WorkerView> aWorkers,
                                                        std::size_t aTurn);

}  // namespace monsoon
