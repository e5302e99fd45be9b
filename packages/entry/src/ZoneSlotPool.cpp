#include "ZoneSlotPool.h"

namespace jaylane::entry {

ZoneSlotPool::ZoneSlotPool(const VmContext& aContext, policy::SlotPool::Options aOptions)
  : m_context(aContext)
  , m_pool(aContext.m_incarnationText, aOptions)
{
}

void ZoneSlotPool::SetUpstreams(const std::vector<UpstreamRef>& aUpstreams)
{
  std::lock_guard lock(m_mutex);
  std::set<std::string> listed;
  for (const UpstreamRef& upstream : aUpstreams) {
    listed.insert(upstream.m_id);
    m_pool.SetUpstream(upstream.m_id, upstream.m_slots);
  }
  for (const std::string& known : m_listedUpstreams) {
    if (listed.count(known) == 0) {
      m_pool.SetUpstream(known, 0);
    }
  }
  m_listedUpstreams = std::move(listed);
}

std::optional<policy::SlotTicket> ZoneSlotPool::Acquire(const std::string& aUpstream,
                                                        std::chrono::nanoseconds aTimeout)
{
  std::lock_guard lock(m_mutex);
  const auto index = m_pool.Find(aUpstream);
  return index ? m_pool.Acquire(*index, m_context.m_clock.Monotonic(), aTimeout) : std::nullopt;
}

bool ZoneSlotPool::MayDispatch(const policy::SlotTicket& aTicket,
                               std::chrono::nanoseconds aTimeout) const
{
  std::lock_guard lock(m_mutex);
  return m_pool.MayDispatch(aTicket, m_context.m_clock.Monotonic(), aTimeout);
}

void ZoneSlotPool::Release(const policy::SlotTicket& aTicket)
{
  std::lock_guard lock(m_mutex);
  m_pool.Release(aTicket);
}

bool ZoneSlotPool::HasFree(const std::string& aUpstream, std::chrono::nanoseconds aTimeout) const
{
  std::lock_guard lock(m_mutex);
  const auto index = m_pool.Find(aUpstream);
  return index && m_pool.FreeSlots(*index, m_context.m_clock.Monotonic(), aTimeout) > 0;
}

std::uint32_t ZoneSlotPool::Owned(const std::string& aUpstream) const
{
  std::lock_guard lock(m_mutex);
  const auto index = m_pool.Find(aUpstream);
  return index ? m_pool.OwnedSlots(*index, m_context.m_clock.Monotonic()) : 0;
}

std::set<std::string> ZoneSlotPool::OwnersOf(const std::string& aUpstream) const
{
  std::lock_guard lock(m_mutex);
  const auto index = m_pool.Find(aUpstream);
  std::set<std::string> owners;
  for (std::uint32_t slot = 0; index && slot < m_pool.Slots(*index); ++slot) {
    if (const auto* owner = m_pool.OwnerOfSlot(*index, slot)) {
      owners.insert(*owner);
    }
  }
  return owners;
}

bool ZoneSlotPool::HasUsableUnits() const
{
  std::lock_guard lock(m_mutex);
  return m_pool.HasUsableUnits(m_context.m_clock.Monotonic());
}

} // namespace jaylane::entry
