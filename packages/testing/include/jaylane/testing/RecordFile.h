#pragma once

#include "jaylane/base/Error.h"

#include <json/value.h>
#include <memory>
#include <string>
#include <vector>

namespace jaylane::testing {

/// File of JSON lines. Each record is appended with one system call, so that it is kept even if a
/// signal kills the process right after. Thread safe.
class RecordFile
{
public:
  /// @param aPath file to append to; an empty path drops all records.
  /// @return the file, or TestingErrc::FileFailed.
  static base::Result<std::unique_ptr<RecordFile>> Open(const std::string& aPath);
  ~RecordFile();

  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;

  void Append(const Json::Value& aRecord);

  /// @param aPath file written by this class.
  /// @return its records; an incomplete last line is ignored.
  static base::Result<std::vector<Json::Value>> Read(const std::string& aPath);

private:
  explicit RecordFile(int aFile);

  const int m_file;
};

/// @return wall time in milliseconds since the epoch, as used in records.
double RecordTimeMillis();

} // namespace jaylane::testing
