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

/// A file that is open for appending.
class AppendFile {
public:
  virtual ~AppendFile() = default;
  /// Appends all bytes. \returns kResourceExhausted if the disk is full,
  /// kInternal for other failures.
  virtual absl::Status append(std::string_view Bytes) = 0;
  /// Makes everything appended so far durable. \returns errors as append()
  /// does.
  virtual absl::Status sync() = 0;
};

/// Holds the exclusive lock of a data folder until it is destroyed.
class DirectoryLock {
public:
  virtual ~DirectoryLock() = default;
};

/// The file operations that the store needs. Tests replace it by a fake that
/// injects faults.
///
/// File names are relative to the data folder. Creating, renaming and removing
/// a file become durable with syncDirectory().
class FileSystem {
public:
  virtual ~FileSystem() = default;
  /// Opens \p Name for appending and creates it if it does not exist.
  virtual absl::StatusOr<std::unique_ptr<AppendFile>>
  openAppend(const std::string &Name) = 0;
  /// \returns the whole content, or kNotFound if there is no such file.
  virtual absl::StatusOr<std::string> read(const std::string &Name) = 0;
  /// Truncates the file to \p Size bytes and syncs it.
  virtual absl::Status truncate(const std::string &Name, uint64_t Size) = 0;
  /// Renames a file and replaces \p NewName if it exists.
  virtual absl::Status rename(const std::string &OldName,
                              const std::string &NewName) = 0;
  /// \returns kNotFound if there is no such file.
  virtual absl::Status remove(const std::string &Name) = 0;
  /// Returns the names of all files, sorted.
  virtual absl::StatusOr<std::vector<std::string>> list() = 0;
  /// Makes all changes of file names durable.
  virtual absl::Status syncDirectory() = 0;
  /// Locks the data folder. \returns kFailedPrecondition if another process
  /// holds the lock.
  virtual absl::StatusOr<std::unique_ptr<DirectoryLock>> lock() = 0;
};

/// Returns the file system of the data folder \p Folder, which is created if it
/// does not exist. Its parent must exist.
absl::StatusOr<std::unique_ptr<FileSystem>>
openDataFolder(const std::string &Folder);

} // namespace anvil::store

#endif // ANVIL_STORE_FILESYSTEM_H
