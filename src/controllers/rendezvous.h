// Rendezvous hashing: every process ranks the candidates of a key alike, and a candidate that comes
// or goes moves only its own share.
#pragma once

#include <span>
#include <string_view>
#include <vector>

#include "core/model.h"

namespace monsoon {

[[nodiscard]] std::uint64_t HashPair(std::string_view aKey, std::string_view aCandidate) noexcept;

// Candidates by falling score. The same on every VM and in every build.
[[nodiscard]] std::vector<ProcessName> RankCandidates(std::string_view aKey,
                                                      std::span<const ProcessName> aCandidates);
// The best, or empty without candidates.
[[nodiscard]] ProcessName ChooseCandidate(std::string_view aKey,
                                          std::span<const ProcessName> aCandidates);
// Whether aSelf is among the first aCount.
[[nodiscard]] bool IsChosen(std::string_view aKey,
                            std::span<const ProcessName> aCandidates,
                            std::string_view aSelf,
                            std::size_t aCount);

}  // namespace monsoon
