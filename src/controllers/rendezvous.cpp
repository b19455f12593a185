#include "controllers/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace monsoon {

namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t HashBytes(std::uint64_t aHash, std::string_view aBytes) noexcept
{
  for (const char c : aBytes)
    aHash = (aHash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  return aHash;
}

// FNV-1a leaves the high bits weak for short names; the finalizer of splitmix64 spreads them.
std::uint64_t Mix(std::uint64_t aHash) noexcept
{
  aHash = (aHash ^ (aHash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  aHash = (aHash ^ (aHash >> 27)) * 0x94d049bb133111ebULL;
  return aHash ^ (aHash >> 31);
}

}  // namespace

std::uint64_t HashPair(std::string_view aKey, std::string_view aCandidate) noexcept
{
  std::uint64_t hash = HashBytes(kFnvOffset, aKey);
  hash = HashBytes(hash, std::string_view("\0", 1));
  return Mix(HashBytes(hash, aCandidate));
}

std::vector<ProcessName> RankCandidates(std::string_view aKey,
                                        std::span<const ProcessName> aCandidates)
{
  std::vector<std::pair<std::uint64_t, ProcessName>> scored;
  scored.reserve(aCandidates.size());
  for (const ProcessName& name : aCandidates)
    scored.emplace_back(HashPair(aKey, name), name);
  std::sort(scored.rbegin(), scored.rend());
  std::vector<ProcessName> ranked;
  ranked.reserve(scored.size());
  for (auto& [score, name] : scored)
    ranked.push_back(std::move(name));
  return ranked;
}

ProcessName ChooseCandidate(std::string_view aKey, std::span<const ProcessName> aCandidates)
{
  const ProcessName* best = nullptr;
  std::uint64_t bestScore = 0;
  for (const ProcessName& name : aCandidates) {
    const std::uint64_t score = HashPair(aKey, name);
    if (best != nullptr && std::tie(score, name) <= std::tie(bestScore, *best))
      continue;
    best = &name;
    bestScore = score;
  }
  return best == nullptr ? ProcessName{} : *best;
}

bool IsChosen(std::string_view aKey,
              std::span<const ProcessName> aCandidates,
              std::string_view aSelf,
              std::size_t aCount)
{
  const std::uint64_t own = HashPair(aKey, aSelf);
  std::size_t better = 0;
  bool present = false;
  for (const ProcessName& name : aCandidates) {
    present = present || name == aSelf;
    const std::uint64_t score = HashPair(aKey, name);
    if (score > own || (score == own && name > aSelf))
      ++better;
  }
  return present && better < aCount;
}

}  // namespace monsoon
