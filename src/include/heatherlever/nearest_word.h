#ifndef HEATHERLEVER_NEAREST_WORD_H_
#define HEATHERLEVER_NEAREST_WORD_H_

#include <string>
#include <vector>

namespace heatherlever {

/// The word of `words` with the smallest edit distance to `word`; empty if
/// `words` is empty or none is close enough to be a likely misspelling.
std::string NearestWord(const std::string& word,
                        const std::vector<std::string>& words);

/// "; did you mean 'X'?" for the nearest word, or an empty text.
std::string NearestWordHint(const std::string& word,
                            const std::vector<std::string>& words);

}  // namespace heatherlever

#endif  // HEATHERLEVER_NEAREST_WORD_H_
