// Faults of the soak: of processes, their links, the store and the workers.
#include <csignal>

#include "tests/soak/soak.h"

namespace monsoon {

namespace {

constexpr std::uint32_t kSizes[] = { 4'000, 8'000, 12'000, 16'000, 24'000 };  // of workers

}  // namespace

Async<void> Soak::InjectOne()
{
  const std::size_t index = Draw(mFleet.Count());
  testing::EntryProcess& process = mFleet.Get(index);
  const Duration time = milliseconds(300 + Draw(3500));
  const auto worker = static_cast<std::uint32_t>(Draw(mOptions.mWorkers));
  switch (Draw(11)) {
    case 0:
    case 1: {
      const Disturbance disturbance(mCalm[index]);
      mFleet.End(index, SIGKILL);
      co_await Sleep(time / 4);
      mFleet.Start(index);
      break;
    }
    case 2: {
      const Disturbance disturbance(mCalm[index]);
      mFleet.Signal(index, SIGSTOP);
      co_await Sleep(time);
      mFleet.Signal(index, SIGCONT);
      break;
    }
    case 3: {
      const Disturbance disturbance(mCalm[index]);
      mFleet.Signal(index, SIGTERM);
      co_await Sleep(seconds(6));
      mFleet.End(index, SIGKILL);
      mFleet.Start(index);
      break;
    }
    case 4: {
      const Disturbance disturbance(mStoreCalm);
      mFleet.GetPlatform().SetStoreMode(static_cast<standin::StoreMode>(1 + Draw(3)));
      co_await Sleep(time);
      mFleet.GetPlatform().SetStoreMode(standin::StoreMode::Serving);
      break;
    }
    case 5:
    case 6: {
      const Disturbance disturbance(mCalm[index]);
      testing::LinkFaults faults;
      const std::uint64_t kind = Draw(3);
      faults.mDelay = kind == 0 ? milliseconds(50 + Draw(200)) : milliseconds(0);
      faults.mCut = kind == 1;
      faults.mFrozen = kind == 2;
      testing::Proxy& link = Draw(2) == 0 ? *process.mStoreLink : *process.mPeerLink;
      link.SetFaults(faults);
      co_await Sleep(time);
      link.SetFaults({});
      break;
    }
    case 7:
      mFleet.GetPlatform().CrashWorker(worker);
      break;
    case 8:
      mFleet.GetPlatform().SetSilent(worker, true);
      co_await Sleep(2 * time);
      mFleet.GetPlatform().SetSilent(worker, false);
      break;
    case 9:
      mFleet.GetPlatform().ReplaceQueue();
      break;
    default:
      mFleet.GetPlatform().SetLostAnswers(0.1);
      co_await Sleep(time);
      mFleet.GetPlatform().SetLostAnswers(0);
      break;
  }
}

Async<void> Soak::InjectFaults()
{
  while (!mOver) {
    co_await Sleep(milliseconds(200 + Draw(1200)));
    if (!mOver)
      asio::co_spawn(mContext, InjectOne(), asio::detached);  // faults come in series and overlap
  }
}

// Faults that workers have in a healthy cluster as well, so they come more often than the others.
Async<void> Soak::InjectWorkerFaults()
{
  standin::FleetStandin& platform = mFleet.GetPlatform();
  while (!mOver) {
    co_await Sleep(milliseconds(100 + Draw(500)));
    const auto worker = static_cast<std::uint32_t>(Draw(mOptions.mWorkers));
    const std::uint32_t size = kSizes[Draw(std::size(kSizes))];
    switch (Draw(10)) {
      case 0:
      case 1:
      case 2:
        platform.ResizeWorker(worker, size);
        break;
      case 3:
      case 4:
        platform.RestartWorker(worker, size);
        break;
      case 5:
        platform.HideWorker(worker, milliseconds(1000 + Draw(9000)));
        break;
      case 6:
      case 7:
        platform.WriteForeignEntry(worker, static_cast<standin::ForeignEntry>(Draw(7)));
        break;
      default:
        platform.SetLateOrders(Draw(2) == 0 ? 0.01 : 0.1);
        break;
    }
  }
  platform.SetLateOrders(0);
}

// Makes the links to a few workers slow for some seconds at a time. Draws by itself, so that the
// other faults of a seed stay the same.
Async<void> Soak::SlowLinks()
{
  std::mt19937_64 random(mOptions.mSeed + 1'000'000);
  while (!mOver) {
    const auto pause = milliseconds(500 + random() % 1500);
    co_await Sleep(pause);
    const auto first = static_cast<std::uint32_t>(random() % mOptions.mWorkers);
    const std::uint32_t other = (first + mOptions.mWorkers / 2) % mOptions.mWorkers;
    const double share = random() % 2 == 0 ? 0.3 : 0.9;
    const auto time = milliseconds(2000 + random() % 3000);
    for (const std::uint32_t worker : { first, other })
      mFleet.GetPlatform().SetSlowCalls(worker, share);
    co_await Sleep(time);
    for (const std::uint32_t worker : { first, other })
      mFleet.GetPlatform().SetSlowCalls(worker, 0);
  }
}

// Changes keys and limits of the teams. At the end, all limits are as they were at first.
Async<void> Soak::ChangeTeams()
{
  while (!mOver) {
    co_await Sleep(milliseconds(300 + mTeams.Draw(1500)));
    if (mOver)
      break;
    if (mOptions.mFaults && mTeams.Draw(4) == 0)
      asio::co_spawn(mContext, RevokeBehindCut(), asio::detached);
    else
      mFleet.GetPlatform().SetTeams(mTeams.Change());
  }
  mFleet.GetPlatform().SetTeams(mTeams.RestoreLimits());
}

// Revokes a key while a process is cut off from the store.
Async<void> Soak::RevokeBehindCut()
{
  const std::size_t index = mTeams.Draw(mFleet.Count());
  const Disturbance disturbance(mCalm[index]);
  const auto before = milliseconds(mTeams.Draw(1000));
  const auto after = milliseconds(500 + mTeams.Draw(5000));
  mFleet.Get(index).mStoreLink->SetFaults({ .mCut = true });
  co_await Sleep(before);
  mFleet.GetPlatform().SetTeams(mTeams.RevokeKey());
  co_await Sleep(after);
  mFleet.Get(index).mStoreLink->SetFaults({});
}

}  // namespace monsoon
