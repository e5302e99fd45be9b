#pragma once

#include "jaylane/testing/HttpCall.h"
#include "jaylane/testing/Scenario.h"

#include <gtest/gtest.h>
#include <json/value.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jaylane::testing {

/// A small deployment of the real daemon; the names of its regions, zones and services are fixed.
struct SmallPlan
{
  unsigned m_regions = 1;
  unsigned m_zonesPerRegion = 1;
  unsigned m_entryVmsPerZone = 2;
  unsigned m_upstreamsPerZone = 2;
  unsigned m_slots = 4;
  std::chrono::milliseconds m_serviceTime{ 20 };
  std::chrono::milliseconds m_requestTimeout{ 2000 };
  bool m_links = false;
  /// Settings of the node "/" in the form of a YAML mapping's lines, beyond the short times.
  std::string m_settings;
};

/// The only service: non-idempotent by default, not bulk.
inline constexpr const char* kService = "orders-svc";
inline constexpr std::chrono::seconds kTimeout{ 10 };
inline constexpr std::chrono::milliseconds kLookupLifetime{ 500 };
inline constexpr std::chrono::seconds kShiftWindow{ 1 };
inline constexpr double kPlannedPart = 0.20;
inline constexpr double kFailoverPart = 0.10;

/// @return "r0", "r1", ...; zones are "r0-a", "r0-b", entry VMs "r0-a-entry-0".
std::string RegionName(unsigned aNumber);

/// Starts a deployment and waits until every entry VM serves and has share units.
std::unique_ptr<Scenario> StartSmall(const SmallPlan& aPlan);

/// @return an address in another client block of the region for each number.
std::string CallerAddress(const std::string& aRegion, unsigned aNumber);

/// @return options of a caller of the region with a short deadline.
CallerOptions CallerOf(const std::string& aRegion, unsigned aNumber);

/// @return ids of the upstreams.
std::vector<std::string> Upstreams(const Scenario& aScenario);

/// @return requests executed by the upstream so far; 0 if it does not respond.
std::uint64_t Executed(const Scenario& aScenario, const std::string& aUpstream);
/// @return the sum over all upstreams.
std::uint64_t ExecutedInAll(const Scenario& aScenario);
/// Waits until the upstreams have executed more requests.
bool WaitForWork(const Scenario& aScenario, std::uint64_t aRequests);

/// @return share units of the zone that the store's table gives to the incarnation.
std::size_t UnitsOf(const Scenario& aScenario,
                    const std::string& aZone,
                    const std::string& aIncarnation);

/// @return sums of the outcomes over the callers.
std::map<std::string, std::uint64_t> Outcomes(const std::deque<Json::Value>& aSummaries);

/// @return all attempts of all callers.
std::vector<Json::Value> Attempts(Scenario& aScenario, std::size_t aCallers);

/// @param aFile record of an upstream.
/// @return id and time of arrival, in milliseconds since the epoch, of each request executed.
std::vector<std::pair<std::string, double>> ReceivedTimes(const std::string& aFile);

/// Checks the history and fails the test for each violation.
/// @return the report.
Json::Value ExpectClean(const Scenario& aScenario, const HistoryRules& aRules = {});

/// The reply of an entry VM to a single request.
struct SingleReply
{
  long m_status = 0;
  /// "completed", "not-run" or "unknown"; "none" without a reply.
  std::string m_outcome;
  std::string m_error;
};

/// Sends an order with the key through a VM.
SingleReply SendOrder(const Scenario& aScenario, const std::string& aVm, const std::string& aKey);

/// @return a caller address whose lookups name the VM first, and the scope to use there.
struct Target
{
  std::string m_caller;
  std::string m_scope;
};
std::optional<Target> TargetOf(const Scenario& aScenario,
                               const std::string& aVm,
                               const std::string& aRegion);

} // namespace jaylane::testing
