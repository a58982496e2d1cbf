#ifndef HEATHERLEVER_MEMBER_TABLE_H_
#define HEATHERLEVER_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heatherlever/listed_host.h"
#include "heatherlever/member_record.h"

namespace heatherlever {

/// All entry hosts that are known: the platform's list joined with what hosts
/// say of themselves and of each other.
class MemberTable {
 public:
  struct Member {
    MemberRecord record;
    /// On the platform's newest list.
    bool listed = false;
    /// The incarnations that the platform's list calls leaving: up to this
    /// one. Meaningful while `listed_leaving`.
    std::uint64_t leaving_incarnation = 0;
    bool listed_leaving = false;
    /// When record.version was taken.
    Instant changed{};

    /// The version's state, or leaving where the list says so.
    MemberState state() const;
  };

  /// Takes a record if its version is newer than the known one. Ignores a dead
  /// or leaving host that is otherwise unknown. Returns whether it was taken.
  bool Merge(const MemberRecord& record, Instant now);

  /// Joins the platform's list. A listed host never heard of is suspect; a
  /// host that is neither listed nor alive or suspect is forgotten, but for
  /// `self`.
  void MergeList(const std::vector<ListedHost>& hosts,
                 const std::string& self,
                 Instant now);

  /// The member of a name; null if there is none.
  const Member* Find(const std::string& id) const;

  /// Restarts the clock of every suspicion.
  void ResetSuspicions(Instant now);

  const std::map<std::string, Member>& members() const { return members_; }

  /// Hosts whose version says suspect.
  const std::set<std::string>& suspects() const { return suspects_; }

  /// Equal for equal versions of the hosts that are alive or suspect.
  std::uint64_t digest() const { return digest_; }

 private:
  void SetRecord(Member& member, const MemberRecord& record, Instant now);
  void AddListed(const ListedHost& host, Instant now);

  std::map<std::string, Member> members_;
  std::set<std::string> suspects_;
  std::uint64_t digest_ = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_MEMBER_TABLE_H_
