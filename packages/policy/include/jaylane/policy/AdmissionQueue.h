#pragma once

#include "jaylane/base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace jaylane::policy {

/// Requests that wait for a slot, bounded by number and by deadline. An entry that cannot finish
/// before its deadline is dropped at once, as not-run.
class AdmissionQueue
{
public:
  enum class Order
  {
    Fifo,
    Lifo,
  };

  struct Options
  {
    std::size_t m_capacity = 1024;
    Order m_order = Order::Fifo;
  };

  struct Entry
  {
    std::uint64_t m_id = 0;
    base::MonotonicTime m_deadline;
  };

  /// Current speed of the upstreams behind the queue.
  struct ServiceTimes
  {
    /// Time that one request takes; a high quantile, as half of the requests exceed the median.
    std::chrono::nanoseconds m_serviceTimeBound{ 0 };
    /// Mean time between two slots that get free, for the expected wait.
    std::chrono::nanoseconds m_slotInterval{ 0 };
  };

  explicit AdmissionQueue(Options aOptions);

  /// Changes the capacity; entries above a smaller one stay.
  void SetCapacity(std::size_t aCapacity) { m_options.m_capacity = aCapacity; }

  /// @return false if the queue is full or the entry cannot finish before its deadline: to be
  /// answered as not-run (429).
  bool Offer(const Entry& aEntry, const ServiceTimes& aService, base::MonotonicTime aNow);

  /// Removes entries that can no longer finish; to be called before Take() and at NextDrop().
  /// @return the entries, to be answered as not-run (429).
  std::vector<Entry> DropLate(const ServiceTimes& aService, base::MonotonicTime aNow);

  /// To be called after DropLate().
  /// @return the next entry to run, or nothing.
  std::optional<Entry> Take();

  /// Removes an entry whose caller has gone.
  bool Cancel(std::uint64_t aId);

  /// @return time at which the next entry gets too late.
  std::optional<base::MonotonicTime> NextDrop(const ServiceTimes& aService) const;

  std::size_t size() const { return m_entries.size(); }

private:
  using Entries = std::map<std::uint64_t, Entry>;
  using Deadlines = std::set<std::pair<base::MonotonicTime, std::uint64_t>>;

  Entry Remove(Entries::iterator aEntry);

  Options m_options;
  Entries m_entries;     // by order of arrival
  Deadlines m_deadlines; // deadline and order of arrival
  std::map<std::uint64_t, std::uint64_t> m_sequenceOf;
  std::uint64_t m_nextSequence = 0;
};

} // namespace jaylane::policy
