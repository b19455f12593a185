// What a journal gives its users. The class template itself is in journal/journal.h.
//
// A journal is a sequence of values `journal/<name>/<sequence>` in the platform's store, each
// written create-if-absent, plus a snapshot. One value carries a batch of entries (group commit).
#pragma once

#include <concepts>
#include <string>
#include <vector>

#include "core/async.h"
#include "core/model.h"

namespace monsoon {

struct JournalEntry  // one entry as a reader sees it
{
  Sequence mSequence = 0;  // of the value that carries it; entries of one batch share it
  std::string mBytes{};    // encoded by its user
};

struct JournalState  // result of reading a journal from the start
{
  Sequence mSnapshotAt = 0;  // 0: none
  std::string mSnapshot{};   // encoded by its user; covers all entries up to mSnapshotAt
  std::vector<JournalEntry> mEntries{};  // after the snapshot, in order
  Sequence mHead = 0;                    // last sequence that stands
  std::vector<Sequence>
    mCorrupt{};  // values that could not be decoded; reported, never skipped silently
};

// A journal with one writer at a time (job shards) or many (configuration, ownership).
template<class T>
concept JournalLike = requires(T& aJournal, std::string aBytes, Sequence aSequence)
{
  // Reads snapshot and tail, and remembers the head.
  {
    aJournal.Replay()
    } -> std::same_as<Async<Result<JournalState>>>;
  // Reads what came after the remembered head, and remembers the new one.
  {
    aJournal.ReadNew()
    } -> std::same_as<Async<Result<std::vector<JournalEntry>>>>;
  // Appends after the remembered head, together with other Append calls under way (group commit).
  // Fenced: another writer has appended; nothing of this stands. Replay before any further act.
  {
    aJournal.Append(aBytes)
    } -> std::same_as<Async<Result<Sequence>>>;
  // Appends as sequence aSequence exactly. Conflict: that sequence is taken; ReadNew and decide
  // again.
  {
    aJournal.AppendAt(aSequence, aBytes)
    } -> std::same_as<Async<Result<Sequence>>>;
  // Replaces everything up to aSequence by the snapshot, then deletes older values.
  {
    aJournal.WriteSnapshot(aSequence, aBytes)
    } -> std::same_as<Async<Result<void>>>;
  {
    aJournal.GetHead()
    } -> std::same_as<Sequence>;
};

}  // namespace monsoon
