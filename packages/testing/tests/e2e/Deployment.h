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

/// Options of a small deployment of real entry processes. The names of its regions, zones and
/// services are fixed.
struct TestDeploymentOptions
{
  unsigned m_regions = 1;
  unsigned m_zonesPerRegion = 1;
  unsigned m_entryVmsPerZone = 2;
  unsigned m_upstreamsPerZone = 2;
  unsigned m_slots = 4;
  std::chrono::milliseconds m_serviceTime{ 20 };
  std::chrono::milliseconds m_requestTimeout{ 2000 };
  /// Whether traffic between zones and to the platform runs over link relays.
  bool m_links = false;
  /// Further YAML lines for the settings of the node "/", appended to those that shorten the
  /// windows and times.
  std::string m_settings;
};

/// The only service: non-idempotent by default, not bulk.
inline constexpr const char* kService = "orders-svc";
/// Default limit for calls and for waiting until a condition holds.
inline constexpr std::chrono::seconds kTimeout{ 10 };
inline constexpr std::chrono::milliseconds kLookupLifetime{ 500 };
inline constexpr std::chrono::seconds kShiftWindow{ 1 };
/// Largest shares of the traffic that planned shifts and failover may move in one shift window.
inline constexpr double kPlannedShiftPart = 0.20;
inline constexpr double kFailoverShiftPart = 0.10;

/// @return "r0", "r1", ...; zones are "r0-a", "r0-b", entry VMs "r0-a-entry-0".
std::string RegionName(unsigned aNumber);

/// Starts a deployment and waits until every entry VM serves, and those of the zone "r0-a" have
/// share units and name each other in lookups. Adds a test failure for a VM that received none.
/// @return nothing, with a test failure, if the deployment could not be started.
std::unique_ptr<Scenario> StartTestDeployment(const TestDeploymentOptions& aOptions);

/// @return a caller address of the region; the number modulo 64 selects the client block.
std::string CallerAddress(const std::string& aRegion, unsigned aNumber);

/// @return options of a caller in the region, with a deadline of one second.
/// @param aNumber selects the address, see CallerAddress().
CallerOptions MakeCallerOptions(const std::string& aRegion, unsigned aNumber);

/// @return ids of all upstreams.
std::vector<std::string> UpstreamIds(const Scenario& aScenario);

/// @return number of requests that the upstream has executed so far; 0 if it does not respond.
std::uint64_t ExecutedRequests(const Scenario& aScenario, const std::string& aUpstream);
/// @return number of requests that all upstreams together have executed so far.
std::uint64_t TotalExecutedRequests(const Scenario& aScenario);
/// Waits until all upstreams together have executed aRequests more requests.
/// @return false after kTimeout.
bool WaitForExecutedRequests(const Scenario& aScenario, std::uint64_t aRequests);

/// @return number of share units of the zone that the share table in the store assigns to the
/// incarnation.
std::size_t ShareUnitCount(const Scenario& aScenario,
                           const std::string& aZone,
                           const std::string& aIncarnation);

/// Adds up the counts of each outcome over all callers and prints the sums.
std::map<std::string, std::uint64_t> SumOutcomes(const std::deque<Json::Value>& aSummaries);

/// @return the attempts that all callers recorded.
std::vector<Json::Value> ReadAttempts(Scenario& aScenario, std::size_t aCallers);

/// @return number of attempts of all callers with the error code.
std::size_t CountErrors(Scenario& aScenario, std::size_t aCallers, const std::string& aError);

/// @param aFile record file of an upstream.
/// @return id and time of arrival, in milliseconds since the epoch, of each executed request.
std::vector<std::pair<std::string, double>> ReadReceivedTimes(const std::string& aFile);

/// Checks the history against the rules and adds a test failure for each violation.
/// @return the report.
Json::Value ExpectNoViolations(const Scenario& aScenario, const HistoryRules& aRules = {});

/// Response of an entry VM to a single request.
struct SingleResponse
{
  long m_status = 0;
  /// "completed", "not-run" or "unknown"; "none" if there was no response.
  std::string m_outcome;
  /// Error code, such as "store-unavailable"; empty if there was no error.
  std::string m_error;
};

/// Sends an order (a non-idempotent request) with the key to an entry VM.
SingleResponse SendOrder(const Scenario& aScenario,
                         const std::string& aVm,
                         const std::string& aKey);

/// A caller whose lookups return a certain entry VM first.
struct SteeredCaller
{
  std::string m_address;
  /// Scope from the lookup, which the caller's keys start with.
  std::string m_scope;
};
/// Searches the client blocks of the region for a caller that is steered to the VM.
/// @return nothing if no block is steered to the VM.
std::optional<SteeredCaller> FindSteeredCaller(const Scenario& aScenario,
                                               const std::string& aVm,
                                               const std::string& aRegion);

} // namespace jaylane::testing
