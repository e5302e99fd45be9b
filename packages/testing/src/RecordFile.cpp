#include "jaylane/testing/RecordFile.h"

#include "jaylane/platform/JsonText.h"
#include "jaylane/testing/TestingError.h"

#include <cassert>
#include <chrono>
#include <fcntl.h>
#include <fstream>
#include <unistd.h>

namespace jaylane::testing {

RecordFile::RecordFile(int aFile)
  : m_file(aFile)
{
}

RecordFile::~RecordFile()
{
  if (m_file >= 0) {
    close(m_file);
  }
}

base::Result<std::unique_ptr<RecordFile>> RecordFile::Open(const std::string& aPath)
{
  int file = -1;
  if (!aPath.empty()) {
    file = open(aPath.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
    if (file < 0) {
      return MakeError(TestingErrc::FileFailed, aPath);
    }
  }
  return std::unique_ptr<RecordFile>(new RecordFile(file));
}

void RecordFile::Append(const Json::Value& aRecord)
{
  if (m_file < 0) {
    return;
  }
  const std::string line = platform::WriteJson(aRecord) + "\n";
  // With O_APPEND, lines of concurrent threads do not interleave if each is a single write.
  [[maybe_unused]] const ssize_t written = write(m_file, line.data(), line.size());
  assert(written == static_cast<ssize_t>(line.size()));
}

base::Result<std::vector<Json::Value>> RecordFile::Read(const std::string& aPath)
{
  std::ifstream input(aPath);
  if (!input) {
    return MakeError(TestingErrc::FileFailed, aPath);
  }
  std::vector<Json::Value> records;
  std::string line;
  while (std::getline(input, line)) {
    auto record = platform::ParseJsonObject(line);
    if (!record) {
      if (input.eof()) {
        break;
      }
      return MakeError(TestingErrc::Malformed, aPath);
    }
    records.push_back(std::move(*record));
  }
  return records;
}

double RecordTimeMillis()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

} // namespace jaylane::testing
