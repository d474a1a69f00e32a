/* The rule for a changed disk, for three control hosts and one entry.
 *
 * The entry was acknowledged once hosts 0 and 1 had it on disk. Disks are lost
 * one after the other, each only once every host counts again. Whoever is
 * elected must have the entry. Without RULE, a host with a blank disk counts
 * towards a quorum at once.
 */
#define HOSTS 3

bool has[HOSTS];     /* The entry is on this host's disk. */
bool counts[HOSTS];  /* Its votes and acknowledgements count. */
bool up[HOSTS];
byte losses = 0;

inline pick(i) {
  if
  :: i = 0
  :: i = 1
  :: i = 2
  fi
}

active proctype system() {
  byte a, b;
  has[0] = true; has[1] = true;
  a = 0;
  do
  :: a < HOSTS -> counts[a] = true; up[a] = true; a++
  :: else -> break
  od;
  do
  :: pick(a); up[a] = !up[a]
  :: /* A disk is lost; the host comes back blank. */
     losses < 3 && counts[0] && counts[1] && counts[2] ->
     pick(a);
     has[a] = false;
     losses++;
#ifdef RULE
     counts[a] = false
#else
     skip
#endif
  :: /* An election: two hosts that count, the better log leads. */
     pick(a); pick(b);
     if
     :: a != b && up[a] && up[b] && counts[a] && counts[b] && has[a] >= has[b] ->
        assert(has[a]);
        /* The leader brings the other up to date. */
        has[b] = has[a];
#ifdef RULE
        /* With a quorum that does not count it, the leader takes in a host. */
        byte c;
        c = 3 - a - b;
        if
        :: up[c] && !counts[c] -> has[c] = has[a]; counts[c] = true
        :: true -> skip
        fi
#endif
     :: else -> skip
     fi
  od
}
