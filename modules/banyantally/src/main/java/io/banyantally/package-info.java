/** The facade of banyantally: start here with {@link io.banyantally.BanyantallyBuilder}. */
package io.banyantally;
