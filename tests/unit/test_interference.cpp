// Tasks that slow each other down: what is learned from noisy tails, and how fillers are paced.
#include <catch2/catch.hpp>

#include <random>

#include "policy/interference.h"
#include "policy/pacing.h"

using namespace monsoon;

namespace {

constexpr TimePoint kStart{ seconds(1000) };

// Replays aSeconds of workers that each report once a second a serving task whose own load moves,
// beside one of three images or none, which come and go. Returns the end.
TimePoint Replay(InterferenceTable& aTable,
                 TimePoint aFrom,
                 int aSeconds,
                 const double (&aRises)[3])
{
  const std::string_view images[] = { "calm", "loud", "worse" };
  std::mt19937 random(7);
  std::normal_distribution<double> noise(0, 0.15);
  TimePoint now = aFrom;
  for (int n = 0; n < aSeconds; ++n, now += seconds(1))
    for (int worker = 0; worker < 6; ++worker) {
      const unsigned kind = (static_cast<unsigned>(worker) + static_cast<unsigned>(n) / 3) % 4;
      std::vector<NeighborLoad> beside;
      double tail = 0.4 + noise(random) + 0.1 * std::sin(n / 2.0 + worker);
      if (kind < 3) {
        beside.push_back({ images[kind], 1 });
        tail += aRises[kind];
      }
      ObserveTail(aTable, "portal", tail, beside, now);
    }
  return now;
}

}  // namespace

TEST_CASE("interference: images that disturb are told from those that do not, also after a change")
{
  InterferenceTable table;
  TimePoint now = Replay(table, kStart, 12, { 0, 0.5, 1.2 });
  REQUIRE(EstimateRise(table, "portal", "calm", now).has_value());
  CHECK(*EstimateRise(table, "portal", "calm", now) < 0.15);
  CHECK(*EstimateRise(table, "portal", "loud", now) == Approx(0.5).margin(0.2));
  CHECK(*EstimateRise(table, "portal", "worse", now) == Approx(1.2).margin(0.25));
  CHECK(*EstimateOwnTail(table, "portal", now) == Approx(0.4).margin(0.15));

  now = Replay(table, now, 16, { 0.8, 0, 1.2 });
  CHECK(*EstimateRise(table, "portal", "calm", now) == Approx(0.8).margin(0.25));
  CHECK(*EstimateRise(table, "portal", "loud", now) < 0.25);
}

TEST_CASE("interference: nothing is claimed without a comparison, or of long ago")
{
  InterferenceTable table;
  const NeighborLoad beside[] = { { "loud", 1 } };
  for (int n = 0; n < 20; ++n)
    ObserveTail(table, "portal", 1.4, beside, kStart + n * seconds(1));
  CHECK_FALSE(EstimateRise(table, "portal", "loud", kStart + seconds(20)).has_value());
  CHECK_FALSE(EstimateRise(table, "portal", "other", kStart + seconds(20)).has_value());

  const TimePoint now = Replay(table, kStart + seconds(20), 10, { 0, 0.5, 1.2 });
  CHECK(EstimateRise(table, "portal", "worse", now).has_value());
  CHECK_FALSE(EstimateRise(table, "portal", "worse", now + seconds(60)).has_value());
}

TEST_CASE("interference: a fleet of many images is remembered in bounded memory")
{
  InterferenceTable table;
  for (int n = 0; n < 2000; ++n) {
    const std::string serving = "s" + std::to_string(n % 700);
    for (int k = 0; k < 3; ++k) {
      const std::string image = "n" + std::to_string(n + 100 * k);
      const NeighborLoad beside[] = { { image, 1 } };
      ObserveTail(table, serving, 0.5, beside, kStart + n * milliseconds(1));
    }
  }
  CHECK(table.mServing.size() <= 256);
  CHECK(CountPairs(table) <= 256 * 32);
  CHECK(table.mServing.contains("s" + std::to_string(1999 % 700)));
  CHECK_FALSE(table.mServing.contains("s" + std::to_string(1000 % 700)));
}

TEST_CASE("pacing: only the filler that disturbs is slowed, as far as needed")
{
  const std::uint32_t paces[] = { 100, 100 };
  const ServingTail serving[] = { { 1.1, {}, { 0.02, 0.6 } } };
  const auto chosen = ChoosePaces(paces, serving, seconds(5));
  CHECK(chosen[0] == 100);
  CHECK(chosen[1] < 100);
  CHECK(1.1 - 0.6 * (100 - chosen[1]) / 100 < 0.85);
  CHECK(chosen[1] > 0);
  CHECK(ChoosePaces(paces, serving, milliseconds(-100)) == std::vector<std::uint32_t>{ 100, 100 });
  CHECK(ChoosePaces(chosen, {}, seconds(5)) == std::vector<std::uint32_t>{ 100, 100 });
}

TEST_CASE("pacing: no filler that may be the cause works on beside a task that stays over")
{
  const std::uint32_t paces[] = { 100, 50, 100 };
  const ServingTail close[] = { { 1.1, seconds(2), { 0.04, {}, 0.1 } } };
  CHECK(ChoosePaces(paces, close, milliseconds(-1)) == std::vector<std::uint32_t>{ 0, 0, 0 });
  // Its own load alone takes it far over the target.
  const ServingTail early[] = { { 2.5, seconds(2), { 0.04, {}, 0.1 } } };
  CHECK(ChoosePaces(paces, early, milliseconds(-1)) == std::vector<std::uint32_t>{ 0, 0, 0 });
  const ServingTail late[] = { { 2.5, seconds(5), { 0.04, {}, 0.1 } } };
  CHECK(ChoosePaces(paces, late, seconds(2)) == std::vector<std::uint32_t>{ 100, 0, 0 });
}

// What a replay came to.
struct Outcome
{
  Duration mLongestHarm{};  // over the target on end because of fillers
  Duration mHarm{};
  int mOrders = 0;
};

// Replays two minutes of a serving task beside two fillers. Its own load rises and falls, and after
// a minute the harmless filler disturbs and the other does not.
template<class Choose>
Outcome ReplayWorker(unsigned aSeed, Choose aChoose)
{
  constexpr Duration kReport = milliseconds(750);
  std::mt19937 random(aSeed);
  std::normal_distribution<double> noise(0, 0.08);
  std::vector<std::uint32_t> paces{ 100, 100 };
  Outcome outcome;
  Duration harm{};
  for (TimePoint now = kStart; now < kStart + seconds(120); now += kReport) {
    const double at = std::chrono::duration<double>(now - kStart).count();
    const double own = 0.5 + 0.2 * std::sin(at / 4 + aSeed);
    const double rises = at < 60 ? 0.7 * paces[0] : 0.9 * paces[1];
    const double tail = own + rises / kFullPace;
    harm = tail > 1 ? harm + kReport : Duration::zero();
    outcome.mHarm += tail > 1 ? kReport : Duration::zero();
    outcome.mLongestHarm = std::max(outcome.mLongestHarm, harm);
    const auto chosen = aChoose(paces, tail + noise(random), now);
    for (std::size_t n = 0; n < paces.size(); ++n)
      outcome.mOrders += chosen[n] != paces[n] ? 1 : 0;
    paces = chosen;
  }
  return outcome;
}

TEST_CASE("pacing: a serving task is over its target for shorter than when all fillers take turns")
{
  const unsigned seed = GENERATE(1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U);
  using Paces = std::vector<std::uint32_t>;
  InterferenceTable table;
  TimePoint overSince{};
  TimePoint pacedAt = kStart;
  const Outcome paced = ReplayWorker(seed, [&](const Paces& aPaces, double aTail, TimePoint aNow) {
    overSince = TrackOver(overSince, aTail, aNow - milliseconds(750));
    const NeighborLoad beside[] = { { "a", aPaces[0] / 100.0 }, { "b", aPaces[1] / 100.0 } };
    ObserveTail(table, "portal", aTail, beside, aNow);
    const ServingTail serving[] = {
      { aTail,
        overSince == TimePoint{} ? Duration::zero() : aNow - overSince,
        { EstimateRise(table, "portal", "a", aNow), EstimateRise(table, "portal", "b", aNow) } }
    };
    Paces chosen = ChoosePaces(aPaces, serving, aNow - pacedAt - milliseconds(600));
    pacedAt = chosen != aPaces ? aNow : pacedAt;
    return chosen;
  });
  const Outcome turns = ReplayWorker(seed, [](const Paces&, double aTail, TimePoint) {
    return aTail > 0.8 ? Paces{ 0, 0 } : Paces{ 100, 100 };
  });
  INFO("seed " << seed << ": harm " << paced.mHarm / seconds(1) << " s against "
               << turns.mHarm / seconds(1) << " s, orders " << paced.mOrders << " against "
               << turns.mOrders);
  CHECK(paced.mLongestHarm < seconds(4));
  CHECK(2 * paced.mHarm < turns.mHarm);
  CHECK(2 * paced.mOrders < turns.mOrders);
}
