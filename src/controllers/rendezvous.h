// Rendezvous hashing: every process ranks the candidates of a key alike. When a candidate is added
// or removed, only the keys assigned to it move.
#pragma once

#include <span>
#include <string_view>
#include <vector>

#include "core/model.h"

namespace monsoon {

[[nodiscard]] std::uint64_t HashPair(std::string_view aKey, std::string_view aCandidate) noexcept;

// Returns the candidates by descending score. The order is the same on every VM and in every build.
[[nodiscard]] std::vector<ProcessName> RankCandidates(std::string_view aKey,
                                                      std::span<const ProcessName> aCandidates);
// Returns the candidate with the highest score, or an empty name without candidates.
[[nodiscard]] ProcessName ChooseCandidate(std::string_view aKey,
                                          std::span<const ProcessName> aCandidates);
// Returns whether aSelf is among the aCount highest-ranked candidates.
[[nodiscard]] bool IsChosen(std::string_view aKey,
                            std::span<const ProcessName> aCandidates,
                            std::string_view aSelf,
                            std::size_t aCount);

}  // namespace monsoon
