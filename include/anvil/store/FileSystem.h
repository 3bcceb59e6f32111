#ifndef ANVIL_STORE_FILESYSTEM_H
#define ANVIL_STORE_FILESYSTEM_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace anvil::store {

/// A file that grows at its end.
class AppendFile {
public:
  virtual ~AppendFile() = default;
  /// Appends all bytes. \returns kResourceExhausted if the disk is full,
  /// kInternal for other failures.
  virtual absl::Status append(std::string_view Bytes) = 0;
  /// Returns once everything appended so far survives a crash.
  virtual absl::Status sync() = 0;
};

/// Holds an exclusive lock until it is destroyed.
class DirectoryLock {
public:
  virtual ~DirectoryLock() = default;
};

/// The file operations that the store needs; tests put a fake with faults
/// behind it.
///
/// Names of files are relative to the data folder. Creation, renaming and
/// removal last only after syncDirectory().
class FileSystem {
public:
  virtual ~FileSystem() = default;
  /// Opens \p Name for appending, and creates it if it does not exist.
  virtual absl::StatusOr<std::unique_ptr<AppendFile>>
  openAppend(const std::string &Name) = 0;
  /// Returns the whole content. \returns kNotFound if there is no such file.
  virtual absl::StatusOr<std::string> read(const std::string &Name) = 0;
  /// Cuts the file to \p Size bytes and syncs it.
  virtual absl::Status truncate(const std::string &Name, uint64_t Size) = 0;
  virtual absl::Status rename(const std::string &From,
                              const std::string &To) = 0;
  virtual absl::Status remove(const std::string &Name) = 0;
  /// Returns the names of all files, sorted.
  virtual absl::StatusOr<std::vector<std::string>> list() = 0;
  virtual absl::Status syncDirectory() = 0;
  /// \returns kFailedPrecondition if another process holds the lock.
  virtual absl::StatusOr<std::unique_ptr<DirectoryLock>> lock() = 0;
};

/// Returns the file system below \p Folder, which is created if it does not
/// exist.
absl::StatusOr<std::unique_ptr<FileSystem>>
openDataFolder(const std::string &Folder);

} // namespace anvil::store

#endif // ANVIL_STORE_FILESYSTEM_H
