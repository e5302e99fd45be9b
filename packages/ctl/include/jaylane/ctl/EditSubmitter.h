#pragma once

#include "jaylane/ctl/Fleet.h"

#include <cstdint>
#include <json/value.h>
#include <string>

namespace jaylane::ctl {

enum class EditOutcome
{
  Accepted,
  Rejected,
  /// Some attempt may have had its effect, and reading back did not settle it.
  Unknown,
  /// No attempt had an effect.
  NotSent,
};

struct EditReport
{
  EditOutcome m_outcome = EditOutcome::NotSent;
  std::string m_id;
  std::uint64_t m_baseGeneration = 0;
  /// Generation that contains the edit, if accepted.
  std::uint64_t m_generation = 0;
  /// Member "error" of the response, if rejected.
  Json::Value m_error;
  Json::Value m_warnings;
  /// Why the outcome is not settled.
  std::string m_problem;
};

/// Sends an edit until its outcome is known. Sending it again is harmless, as its id stays the
/// same; an outcome is called unknown only after reading back.
class EditSubmitter
{
public:
  /// @param aFleet must outlive this.
  explicit EditSubmitter(Fleet& aFleet)
    : m_fleet(aFleet)
  {
  }

  /// @param aPath path of the API, such as "/v1/edits".
  /// @param aBody body with "id" and "base_generation".
  EditReport Submit(const std::string& aPath, const Json::Value& aBody);

  /// Asks whether an earlier edit was accepted, without sending it.
  /// @return Accepted or Unknown.
  EditReport ReadBack(const std::string& aId, std::uint64_t aBaseGeneration);

private:
  Fleet& m_fleet;
};

} // namespace jaylane::ctl
