// Interface of a journal for its users. The class template is in journal/journal.h.
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

struct JournalEntry  // one entry, as returned to readers
{
  Sequence mSequence = 0;  // of the value that carries it; entries of one batch share it
  std::string mBytes{};    // encoded by the journal's user
};

struct JournalState  // result of Replay
{
  Sequence mSnapshotAt = 0;  // last sequence that the snapshot covers; 0: no snapshot
  std::string mSnapshot{};   // encoded by the journal's user; covers all entries up to mSnapshotAt
  std::vector<JournalEntry> mEntries{};  // after the snapshot, in order
  Sequence mHead = 0;                    // last existing sequence
  std::vector<Sequence>
    mCorrupt{};  // missing or undecodable values; Replay never skips one silently
};

// A journal with one writer at a time (job shards) or many (configuration, ownership).
template<class T>
concept JournalLike = requires(T& aJournal, std::string aBytes, Sequence aSequence)
{
  // Reads the snapshot and the values after it, and remembers the last sequence as the head.
  {
    aJournal.Replay()
    } -> std::same_as<Async<Result<JournalState>>>;
  // Reads the entries after the remembered head, and advances the head.
  {
    aJournal.ReadNew()
    } -> std::same_as<Async<Result<std::vector<JournalEntry>>>>;
  // Appends an entry after the remembered head, together with concurrent Append calls (group
  // commit). Fenced: another writer has appended, and this entry was not written; Replay before any
  // other call.
  {
    aJournal.Append(aBytes)
    } -> std::same_as<Async<Result<Sequence>>>;
  // Appends an entry at exactly aSequence. Conflict: that sequence exists already; the caller calls
  // ReadNew and decides again.
  {
    aJournal.AppendAt(aSequence, aBytes)
    } -> std::same_as<Async<Result<Sequence>>>;
  // Writes a snapshot that replaces all entries up to aSequence, then deletes old values.
  {
    aJournal.WriteSnapshot(aSequence, aBytes)
    } -> std::same_as<Async<Result<void>>>;
  // Returns the last sequence that was read or written.
  {
    aJournal.GetHead()
    } -> std::same_as<Sequence>;
};

}  // namespace monsoon
