#include "CapacityReport.h"

#include "AllocationCount.h"
#include "jaylane/base/EventLog.h"
#include "jaylane/base/HybridClock.h"
#include "jaylane/peer/MessageCodec.h"
#include "jaylane/platform/JsonText.h"
#include "jaylane/policy/ExecutionLedger.h"
#include "jaylane/policy/QuarantineList.h"

#include <fmt/format.h>

namespace jaylane::testing {

namespace {

constexpr base::MonotonicTime kNow{ std::chrono::hours{ 1 } };

/// @return bytes allocated since AllocatedBytes() returned aBefore.
double AllocatedSince(std::size_t aBefore)
{
  return static_cast<double>(policy::AllocatedBytes()) - static_cast<double>(aBefore);
}

CapacityPoint MeasureKeys(std::size_t aKeys)
{
  policy::ExecutionLedgerOptions options;
  options.m_maxKeys = std::size_t{ 1 } << 26;
  const auto before = policy::AllocatedBytes();
  auto ledger = *policy::ExecutionLedger::Make(options, { 1, 2 }, kNow);
  const auto scope = *ledger.CurrentScope(kNow);
  std::size_t next = 0;
  const auto executeKey = [&] {
    const policy::ExecutionKey key{ scope, fmt::format("{:016x}", next++) };
    (void)ledger.Begin(key, kNow);
    ledger.Finish(key, { policy::KeyState::Completed, 200 }, kNow);
  };
  while (next < aKeys) {
    executeKey();
  }
  const double bytes = AllocatedSince(before);
  return { static_cast<double>(aKeys),
           { { "state bytes", bytes }, { "key us", CpuMicrosPerCall(executeKey) } } };
}

CapacityPoint MeasureStrikes(std::size_t aStrikes)
{
  const auto before = policy::AllocatedBytes();
  policy::QuarantineList list({}, 1);
  peer::ExchangeMessage message;
  for (std::size_t i = 0; i < aStrikes; ++i) {
    message.m_strikes.push_back({ { i << 40, i << 40 },
                                  i << 40,
                                  i << 40,
                                  std::chrono::milliseconds{ 500'000 + i },
                                  false,
                                  false });
  }
  list.Merge(message.m_strikes, kNow);
  const double bytes = AllocatedSince(before);
  const double merge = CpuMicrosPerCall([&] { list.Merge(message.m_strikes, kNow); });
  const std::string text = platform::WriteJson(peer::Encode(message));
  return { static_cast<double>(aStrikes),
           { { "state bytes", bytes },
             { "message bytes", static_cast<double>(text.size()) },
             { "merge us", merge } } };
}

CapacityPoint MeasureEvents(std::size_t aEvents)
{
  base::HybridClock clock(base::SystemClock::Get());
  const auto before = policy::AllocatedBytes();
  base::EventLog log("vm-1", clock, aEvents);
  const auto record = [&] {
    Json::Value fields;
    fields["service"] = "tables-svc";
    fields["generation"] = 17;
    log.Record("settings-applied", fields);
  };
  for (std::size_t i = 0; i < aEvents; ++i) {
    record();
  }
  const double bytes = AllocatedSince(before);
  return { static_cast<double>(aEvents),
           { { "state bytes", bytes }, { "event us", CpuMicrosPerCall(record) } } };
}

} // namespace

void MeasureRequestState(CapacityReport& aReport)
{
  aReport.Add("keys in the at-most-once ledger",
              { MeasureKeys(1'000), MeasureKeys(10'000), MeasureKeys(30'000), MeasureKeys(65'000) },
              1 << 16);
  aReport.Add(
    "quarantine strikes",
    { MeasureStrikes(16), MeasureStrikes(256), MeasureStrikes(1024), MeasureStrikes(4096) },
    4096);
  aReport.Add("time-line events",
              { MeasureEvents(1'000), MeasureEvents(4'000), MeasureEvents(10'000) },
              10'000);
}

} // namespace jaylane::testing
