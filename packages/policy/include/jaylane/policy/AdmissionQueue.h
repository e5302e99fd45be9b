#pragma once

#include "jaylane/base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace jaylane::policy {

/// Queue of requests that wait for a slot, bounded in length. A request that can no longer finish
/// before its deadline is dropped without waiting for the deadline, with the outcome not-run.
/// Not thread safe.
class AdmissionQueue
{
public:
  /// Order in which Take() returns the entries.
  enum class Order
  {
    Fifo,
    Lifo,
  };

  struct Options
  {
    /// Entries at most.
    std::size_t m_capacity = 1024;
    Order m_order = Order::Fifo;
  };

  struct Entry
  {
    /// Chosen by the user of this class; unique among the entries.
    std::uint64_t m_id = 0;
    base::MonotonicTime m_deadline;
  };

  /// Current speed of the upstreams that serve the queue.
  struct ServiceTimes
  {
    /// Time to allow for serving one request: a high quantile, since half of the requests take
    /// longer than the median.
    std::chrono::nanoseconds m_serviceTimeBound{ 0 };
    /// Mean time between two slots becoming free; determines the expected queueing time.
    std::chrono::nanoseconds m_slotInterval{ 0 };
  };

  explicit AdmissionQueue(Options aOptions);

  /// Changes the capacity. If it becomes smaller than the number of entries, these stay.
  void SetCapacity(std::size_t aCapacity) { m_options.m_capacity = aCapacity; }

  /// Adds an entry.
  /// @return false if the queue is full, contains the id already, or the entry cannot finish before
  ///         its deadline. The request must then be answered as not-run (429).
  bool Offer(const Entry& aEntry, const ServiceTimes& aTimes, base::MonotonicTime aNow);

  /// Removes the entries that can no longer finish before their deadlines. Must be called before
  /// Take() and at NextDropTime().
  /// @return the entries, which must be answered as not-run (429).
  std::vector<Entry> DropLate(const ServiceTimes& aTimes, base::MonotonicTime aNow);

  /// Removes the next entry to run. DropLate() must be called first.
  /// @return the entry, or nothing if the queue is empty.
  std::optional<Entry> Take();

  /// Removes an entry whose caller has disconnected.
  /// @return whether the queue contained it.
  bool Cancel(std::uint64_t aId);

  /// @return when the next entry can no longer finish before its deadline, or nothing if the queue
  ///         is empty.
  std::optional<base::MonotonicTime> NextDropTime(const ServiceTimes& aTimes) const;

  std::size_t size() const { return m_entries.size(); }

private:
  using Entries = std::map<std::uint64_t, Entry>;
  using Deadlines = std::set<std::pair<base::MonotonicTime, std::uint64_t>>;

  Entry Remove(Entries::iterator aEntry);

  Options m_options;
  Entries m_entries;     // by sequence number, which increases in the order of arrival
  Deadlines m_deadlines; // deadlines and sequence numbers
  std::map<std::uint64_t, std::uint64_t> m_sequenceById;
  std::uint64_t m_nextSequence = 0;
};

} // namespace jaylane::policy
