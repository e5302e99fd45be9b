#include "jaylane/platform/FakeStore.h"

#include <algorithm>

namespace jaylane::platform {

namespace {

base::Error FaultError(StoreFault aFault)
{
  return aFault == StoreFault::Refused ? MakeError(PlatformErrc::Unavailable)
                                       : MakeError(PlatformErrc::Timeout);
}

bool HasPrefix(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

} // namespace

StoreFault FakeStore::BeginCall(StoreCall aCall)
{
  std::function<void(StoreCall)> delay;
  std::function<StoreFault(StoreCall)> fault;
  {
    std::lock_guard lock(m_mutex);
    ++m_calls[static_cast<std::size_t>(aCall)];
    delay = m_delayHook;
    fault = m_faultHook;
  }
  if (delay) {
    delay(aCall);
  }
  {
    std::lock_guard lock(m_mutex);
    ApplyLateWritesLocked();
    if (m_outage) {
      return StoreFault::Refused;
    }
    if (m_responsesToLose > 0 && (aCall == StoreCall::Put || aCall == StoreCall::Delete)) {
      --m_responsesToLose;
      return StoreFault::LostResponse;
    }
  }
  return fault ? fault(aCall) : StoreFault::None;
}

base::Result<StoreObject> FakeStore::Get(const std::string& aKey, std::chrono::milliseconds)
{
  const StoreFault fault = BeginCall(StoreCall::Get);
  if (fault != StoreFault::None) {
    return FaultError(fault);
  }
  std::lock_guard lock(m_mutex);
  const auto found = m_records.find(aKey);
  if (found == m_records.end() || found->second.m_deleted) {
    return MakeError(PlatformErrc::NotFound, aKey);
  }
  return StoreObject{ aKey, found->second.m_version, found->second.m_value };
}

base::Result<Version> FakeStore::ApplyLocked(const std::string& aKey,
                                             Version aExpected,
                                             Record aRecord)
{
  const auto found = m_records.find(aKey);
  const bool exists = found != m_records.end() && !found->second.m_deleted;
  const Version current = exists ? found->second.m_version : kAbsent;
  if (current != aExpected) {
    return MakeError(PlatformErrc::Conflict, std::to_string(current));
  }
  aRecord.m_version = ++m_revision;
  m_records[aKey] = std::move(aRecord);
  return m_revision;
}

void FakeStore::ApplyLateWritesLocked()
{
  std::erase_if(m_lateWrites, [this](LateWrite& aWrite) {
    if (aWrite.m_callsLeft > 0) {
      --aWrite.m_callsLeft;
      return false;
    }
    (void)ApplyLocked(aWrite.m_key, aWrite.m_expected, std::move(aWrite.m_record));
    m_changed.notify_all();
    return true;
  });
}

base::Result<Version> FakeStore::Write(const std::string& aKey,
                                       Version aExpected,
                                       StoreFault aFault,
                                       Record aRecord)
{
  if (aFault == StoreFault::Refused || aFault == StoreFault::LostRequest) {
    return FaultError(aFault);
  }
  base::Result<Version> result = FaultError(aFault);
  {
    std::lock_guard lock(m_mutex);
    if (aFault == StoreFault::Late) {
      m_lateWrites.push_back({ aKey, aExpected, std::move(aRecord), kLateCalls });
      return result;
    }
    result = ApplyLocked(aKey, aExpected, std::move(aRecord));
  }
  m_changed.notify_all();
  return aFault == StoreFault::None ? result : FaultError(aFault);
}

base::Result<Version> FakeStore::Put(const std::string& aKey,
                                     const std::string& aValue,
                                     Version aExpected,
                                     std::chrono::milliseconds)
{
  const StoreFault fault = BeginCall(StoreCall::Put);
  if (aValue.size() > kMaxValueBytes) {
    return fault == StoreFault::None ? MakeError(PlatformErrc::TooLarge, aKey) : FaultError(fault);
  }
  return Write(aKey, aExpected, fault, Record{ 0, aValue, false });
}

base::Status FakeStore::Delete(const std::string& aKey,
                               Version aExpected,
                               std::chrono::milliseconds)
{
  const StoreFault fault = BeginCall(StoreCall::Delete);
  if (fault == StoreFault::None) {
    std::lock_guard lock(m_mutex);
    const auto found = m_records.find(aKey);
    if (found == m_records.end() || found->second.m_deleted) {
      return MakeError(PlatformErrc::NotFound, aKey);
    }
  }
  const base::Result<Version> written = Write(aKey, aExpected, fault, Record{ 0, {}, true });
  if (!written) {
    return written.GetError();
  }
  return base::Success{};
}

base::Result<ObjectListing> FakeStore::List(const std::string& aPrefix, std::chrono::milliseconds)
{
  const StoreFault fault = BeginCall(StoreCall::List);
  if (fault != StoreFault::None) {
    return FaultError(fault);
  }
  std::lock_guard lock(m_mutex);
  ObjectListing listing{ m_revision, {} };
  for (auto item = m_records.lower_bound(aPrefix);
       item != m_records.end() && HasPrefix(item->first, aPrefix);
       ++item) {
    if (!item->second.m_deleted) {
      listing.m_objects.push_back({ item->first, item->second.m_version });
    }
  }
  return listing;
}

ChangeBatch FakeStore::ChangesLocked(const std::string& aPrefix, Version aAfter) const
{
  ChangeBatch batch{ std::max(m_revision, aAfter), {} };
  for (auto item = m_records.lower_bound(aPrefix);
       item != m_records.end() && HasPrefix(item->first, aPrefix);
       ++item) {
    const Record& record = item->second;
    if (record.m_version > aAfter) {
      batch.m_changes.push_back(
        { { item->first, record.m_version, record.m_value }, record.m_deleted });
    }
  }
  std::sort(
    batch.m_changes.begin(), batch.m_changes.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.m_object.m_version < aRight.m_object.m_version;
    });
  if (batch.m_changes.size() > kMaxChanges) {
    batch.m_changes.resize(kMaxChanges);
    batch.m_revision = batch.m_changes.back().m_object.m_version;
  }
  return batch;
}

base::Result<ChangeBatch> FakeStore::Watch(const std::string& aPrefix,
                                           Version aAfter,
                                           std::chrono::milliseconds aWait,
                                           std::chrono::milliseconds)
{
  const StoreFault fault = BeginCall(StoreCall::Watch);
  if (fault != StoreFault::None) {
    return FaultError(fault);
  }
  std::unique_lock lock(m_mutex);
  ChangeBatch batch;
  m_changed.wait_for(lock, aWait, [&] {
    batch = ChangesLocked(aPrefix, aAfter);
    return m_outage || !batch.m_changes.empty();
  });
  if (m_outage) {
    return MakeError(PlatformErrc::Unavailable);
  }
  return batch;
}

base::Result<VmList> FakeStore::ListVms(std::chrono::milliseconds)
{
  const StoreFault fault = BeginCall(StoreCall::ListVms);
  if (fault != StoreFault::None) {
    return FaultError(fault);
  }
  std::lock_guard lock(m_mutex);
  return m_vms;
}

void FakeStore::SetVms(VmList aVms)
{
  std::lock_guard lock(m_mutex);
  m_vms = std::move(aVms);
}

void FakeStore::SetOutage(bool aOutage)
{
  {
    std::lock_guard lock(m_mutex);
    m_outage = aOutage;
  }
  m_changed.notify_all();
}

void FakeStore::LoseResponses(std::uint32_t aCount)
{
  std::lock_guard lock(m_mutex);
  m_responsesToLose = aCount;
}

void FakeStore::SetDelayHook(std::function<void(StoreCall)> aHook)
{
  std::lock_guard lock(m_mutex);
  m_delayHook = std::move(aHook);
}

void FakeStore::SetFaultHook(std::function<StoreFault(StoreCall)> aHook)
{
  std::lock_guard lock(m_mutex);
  m_faultHook = std::move(aHook);
}

std::uint64_t FakeStore::Calls(StoreCall aCall) const
{
  std::lock_guard lock(m_mutex);
  return m_calls[static_cast<std::size_t>(aCall)];
}

} // namespace jaylane::platform
