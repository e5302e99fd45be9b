#pragma once

#include "jaylane/base/Error.h"

#include <json/value.h>
#include <memory>
#include <string>
#include <vector>

namespace jaylane::testing {

/// JSON lines appended to a file, each written with one system call, so that a record
/// survives the end of the process by any signal. Thread safe.
class RecordFile
{
public:
  /// @param aPath file to append to; an empty path drops all records.
  static base::Result<std::unique_ptr<RecordFile>> Open(const std::string& aPath);
  ~RecordFile();

  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;

  void Append(const Json::Value& aRecord);

  /// @param aPath file written by this class.
  /// @return its records; an incomplete last line is dropped.
  static base::Result<std::vector<Json::Value>> Read(const std::string& aPath);

private:
  explicit RecordFile(int aFile);

  const int m_file;
};

/// @return milliseconds of wall time since the epoch, as used in records.
double RecordTime();

} // namespace jaylane::testing
