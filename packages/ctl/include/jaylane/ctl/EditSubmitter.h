#pragma once

#include "jaylane/ctl/Fleet.h"

#include <cstdint>
#include <json/value.h>
#include <string>

namespace jaylane::ctl {

/// Outcome of an edit after all attempts to send it.
enum class EditOutcome
{
  Accepted,
  Rejected,
  /// An attempt may have taken effect, and the status query did not resolve this.
  Unknown,
  /// No attempt had an effect.
  NotSent,
};

/// Outcome of an edit with the details that are shown to the operator.
struct EditReport
{
  EditOutcome m_outcome = EditOutcome::NotSent;
  std::string m_id;
  std::uint64_t m_baseGeneration = 0;
  /// Generation that contains the edit, if accepted.
  std::uint64_t m_generation = 0;
  /// Member "error" of the response, if rejected.
  Json::Value m_error;
  /// Warnings about the new tree, if accepted.
  Json::Value m_warnings;
  /// Reason why the edit is neither accepted nor rejected.
  std::string m_problem;
};

/// Sends an edit to one VM after the other until its outcome is known. Retries are safe, because
/// the server accepts an edit id only once. The outcome is reported as unknown only if a query for
/// the status of the edit does not resolve it either.
class EditSubmitter
{
public:
  /// @param aFleet must outlive this.
  explicit EditSubmitter(Fleet& aFleet)
    : m_fleet(aFleet)
  {
  }

  /// @param aPath path of the request, such as "/v1/edits".
  /// @param aBody body of the request with "id" and "base_generation".
  EditReport Submit(const std::string& aPath, const Json::Value& aBody);

  /// Queries whether an earlier edit was accepted, without sending it.
  /// @return report with outcome Accepted or Unknown; an edit that is not accepted yet may still be
  /// in transit.
  EditReport ReadBack(const std::string& aId, std::uint64_t aBaseGeneration);

private:
  Fleet& m_fleet;
};

} // namespace jaylane::ctl
